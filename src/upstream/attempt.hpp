// One call to one upstream host, on behalf of a request.
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

    /// The connection is established: the observer sends the call.
    virtual void on_attempt_connected(Attempt& attempt) = 0;

    /// The attempt has come to a result. A refused connection proves that nothing of the call ran; no other result does.
    virtual void on_attempt_result(Attempt& attempt, upstream_health::CallResult result) = 0;

    /// The attempt ends without a result, which says nothing of the host.
    virtual void on_attempt_abandoned(Attempt& attempt) = 0;
};

/// Owns its connection. Exactly one of on_attempt_result and on_attempt_abandoned is in force: finish() marks the first.
class Attempt final : public net::Stream::Owner {
public:
    Attempt(AttemptObserver& observer, base::TimerQueue& timers, ActiveRequest& request,
            upstream_health::HostId host_id, base::Timestamp started_at);
    ~Attempt() override;
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    /// Takes a connection that is being opened.
    void use_new_connection(HostConnection connection);

    /// Takes a connection that has been open before.
    void use_idle_connection(HostConnection connection);

    /// Sends the call; its response goes to `decoder`.
    void send(std::string_view call, std::unique_ptr<ResponseDecoder> decoder);

    /// Reports a time-out at `deadline` unless there is a result by then.
    void set_deadline(base::Timestamp deadline);

    /// Marks the attempt as finished and cancels its deadline. Returns false when it was finished already.
    bool finish();
    /// Whether finish() was called.
    bool is_finished() const { return finished_; }

    /// Closes the connection, if there is one.
    void close_connection();
    /// Hands the connection over to the caller; the attempt has none afterwards.
    HostConnection take_connection();
    /// Whether the attempt owns a connection.
    bool has_connection() const { return connection_.stream != nullptr; }

    /// An idle connection ended before a byte of the response came: the host had closed it, which is nobody's fault.
    bool was_stale(upstream_health::CallResult result) const;

    /// The request that it is made for; it owns the attempt.
    ActiveRequest& request() { return request_; }
    upstream_health::HostId host_id() const { return host_id_; }
    base::Timestamp started_at() const { return started_at_; }

    /// What of the response has come; null before the call was sent.
    Response* response() { return decoder_ ? &decoder_->response : nullptr; }
    /// Of a complete response: whether the connection may carry another call.
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
    /// The host has sent its last byte, as opposed to a connection that broke.
    bool closed_by_host_ = false;
    bool finished_ = false;
};

}  // namespace cressledge::upstream
