/// One connection of a caller, whatever its protocol: input buffer, timers, admission and the one response per request.
///
/// Owns: the stream, bytes read ahead of their turn, the deadline of the current phase and the connection's slot in the
/// connection limiter. Does not own: parsing and formatting (derived classes) and any decision on what runs.
///
/// Invariants: at most one request is in flight; each request gets one response; nothing is written once the
/// lifecycle is lingering; a session is removed from its frontend's table on the loop turn after it was closed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "connection_admission/connection_limiter.hpp"
#include "frontend/connection_lifecycle.hpp"
#include "net/stream.hpp"
#include "request/request_manager.hpp"

namespace cressledge::frontend {

class Frontend;

/// How long the request of a connection that was rejected on accept is waited for.
inline constexpr base::Duration rejected_request_timeout{500'000};

/// Base of the protocol sessions. A frontend and its sessions are one unit and use each other's private members.
class Session : public net::Stream::Owner {
public:
    /// A session of `frontend`, which owns it; the stream is attached on accept.
    explicit Session(Frontend& frontend) : frontend_(frontend) {}

    // net::Stream::Owner:
    void on_bytes(std::string_view bytes) final;
    /// net::Stream::Owner: the peer has sent its last byte; a request cut short is answered as such. Returns whether
    /// a response is still being written.
    bool on_eof() final;
    /// net::Stream::Owner: the stream is over; the open request, if any, is cancelled, and the session removed.
    void on_end(bool connect_failed) final;

    /// Writes the final response of the request in flight. Without one, nothing happens.
    void send_response(const request::Response& response);
    /// Writes the result of the health check in flight. Without one, nothing happens.
    void send_health_response(bool is_healthy);

protected:
    /// Consumes bytes up to the end of one request and stops after submit(), check_health() or reject_malformed().
    /// Returns the number of bytes consumed.
    virtual std::size_t parse(std::string_view bytes) = 0;
    /// Whether a request has begun and is incomplete.
    virtual bool has_partial_request() const = 0;
    /// Whether a request timeout is answered; otherwise the connection is closed without a response.
    virtual bool expects_request() const { return has_partial_request(); }
    /// The final response. `close`: it says that the connection is closed after it.
    virtual std::string format_response(const request::Response& response, bool close) = 0;
    /// The response to a health check.
    virtual std::string format_health_response(bool is_healthy, bool close) = 0;
    /// The response to a request that is not complete in time.
    virtual std::string format_timeout_response() = 0;
    /// The response to a request that ends before it is complete. Empty: none.
    virtual std::string format_truncated_response() { return {}; }
    /// Whether the protocol and the peer let the connection be used for another request.
    virtual bool keep_alive() const = 0;

    /// Hands a complete request to the request manager, or rejects it where the connection limiter does.
    void submit(request::IncomingRequest incoming);
    /// Runs a health check, `deep` including the executor, as a request of its own.
    void check_health(bool deep);
    /// Counts and answers input that is no valid request.
    void reject_malformed(const std::string& bytes, bool close);
    /// Writes bytes ahead of the final response, such as 100 Continue.
    void send_interim(std::string_view bytes);

    Frontend& frontend() const { return frontend_; }

private:
    friend class Frontend;

    /// What the connection does between two responses. Exactly one deadline belongs to each but in_flight.
    enum class RequestPhase : std::uint8_t {
        receiving,  // a request is awaited or incomplete; the deadline is the request timeout
        in_flight,  // a complete request has no response yet
        idle,  // between two requests; the deadline is the idle timeout
        none,  // no further request is taken
    };
    /// What the connection limiter said of the connection.
    enum class AdmissionState : std::uint8_t {
        admitted,
        rejected,  // in a rejection slot: read only to reject its request
        evicted,  // without a slot: what had been sent before is rejected
    };

    void process_input();
    void finish_request(const std::string& bytes, bool close);
    /// Writes a response that the request manager does not know of.
    void respond_directly(const std::string& bytes, bool close);
    /// Puts the request in flight. Returns false when the connection limiter rejects it.
    bool try_admit_request();
    /// Whether the response now due is the last one.
    bool should_close_with_response() const;

    void start_idle_timer();
    base::Duration idle_timeout() const;
    void on_idle_timeout();
    void start_request_timer(base::Timestamp due);
    void on_request_timeout();

    bool read_pending();
    void discard(std::size_t size);
    void start_drain();
    void start_lingering();
    void evict();
    void close_and_remove();

    Frontend& frontend_;
    net::Stream* stream_ = nullptr;
    base::SlotId id_ = 0;
    request::RequestId request_id_ = 0;
    /// Bytes read ahead of their turn.
    std::string pending_input_;
    ConnectionLifecycle lifecycle_;
    RequestPhase phase_ = RequestPhase::none;
    AdmissionState admission_ = AdmissionState::admitted;
    bool is_processing_input_ = false;
    bool is_reading_paused_ = false;
    base::TimerHandle deadline_;
    /// Bytes that came after the last response.
    std::size_t discarded_bytes_ = 0;
    connection_admission::ConnectionSlotId connection_slot_ = 0;
    base::Timestamp idle_since_{0};
    /// Advice of the connection limiter to a rejected request.
    base::Duration retry_after_{0};
};

}  // namespace cressledge::frontend
