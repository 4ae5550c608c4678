// One attempt of a request: one call to one upstream host.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "base/timer_queue.hpp"
#include "net/stream.hpp"
#include "upstream/codec.hpp"
#include "upstream/idle_connection_pool.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::upstream {

struct ActiveRequest;
class Attempt;

/// Receives the events of attempts.
class AttemptObserver {
public:
    virtual ~AttemptObserver() = default;

    /// The connection is established. The observer sends the call.
    virtual void on_attempt_connected(Attempt& attempt) = 0;

    /// The attempt has a result. Only connection_refused proves that the call did not run.
    virtual void on_attempt_result(Attempt& attempt, upstream_health::CallResult result) = 0;

    /// The attempt is destroyed without a result. This says nothing about the health of the host.
    virtual void on_attempt_abandoned(Attempt& attempt) = 0;
};

/// Owns its connection. The observer calls finish() when it accepts a result; an attempt that is destroyed without it
/// reports on_attempt_abandoned.
class Attempt final : public net::Stream::Owner {
public:
    Attempt(AttemptObserver& observer, base::TimerQueue& timers, ActiveRequest& request,
            upstream_health::HostId host_id, base::Timestamp started_at);
    ~Attempt() override;
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    /// Takes ownership of a connection that is being opened.
    void use_new_connection(HostConnection connection);

    /// Takes ownership of an established connection from the connection pool, and reports it as connected.
    void use_idle_connection(HostConnection connection);

    /// Sends the encoded call; `decoder` decodes the response.
    void send(std::string_view call, std::unique_ptr<ResponseDecoder> decoder);

    /// Reports a timeout at `deadline` unless the attempt is finished by then.
    void set_deadline(base::Timestamp deadline);

    /// Marks the attempt as finished and cancels its deadline. Returns false if it was finished already.
    bool finish();
    /// Whether finish() was called.
    bool is_finished() const { return finished_; }

    /// Closes the connection, if the attempt has one.
    void close_connection();
    /// Transfers ownership of the connection to the caller of this function.
    HostConnection take_connection();
    /// Whether the attempt owns a connection.
    bool has_connection() const { return connection_.stream != nullptr; }

    /// Whether a reused connection failed before the first byte of the response: the host had closed it while it was
    /// idle, which does not count as a failure of the host.
    bool was_stale(upstream_health::CallResult result) const;

    /// The request that owns this attempt.
    ActiveRequest& request() { return request_; }
    upstream_health::HostId host_id() const { return host_id_; }
    base::Timestamp started_at() const { return started_at_; }

    /// The response as decoded so far; null before the call is sent.
    Response* response() { return decoder_ ? &decoder_->response : nullptr; }
    /// Whether the connection may carry another call. Valid once the response is complete.
    bool can_reuse_connection() const { return decoder_->can_reuse_connection(); }

    void on_open() override { observer_.on_attempt_connected(*this); }
    void on_bytes(std::string_view bytes) override;
    bool on_eof() override;
    void on_end(bool refused) override;

private:
    enum class Progress { not_sent, sent, response_started };

    void on_decoded(ResponseDecoder::Status status);

    AttemptObserver& observer_;
    base::TimerQueue& timers_;
    ActiveRequest& request_;
    const upstream_health::HostId host_id_;
    const base::Timestamp started_at_;
    HostConnection connection_;
    std::unique_ptr<ResponseDecoder> decoder_;
    base::TimerHandle deadline_timer_;
    Progress progress_ = Progress::not_sent;
    bool connection_reused_ = false;
    /// Whether the host ended the connection with an end of stream, as opposed to a reset.
    bool closed_by_host_ = false;
    bool finished_ = false;
};

}  // namespace cressledge::upstream
