/// One connection of a caller, independent of the protocol: input buffer, timers, admission and responses.
///
/// Owns the stream, the buffered input of later requests, the timer of the current phase and the connection slot in the
/// connection limiter. Derived classes parse requests and format responses; request::RequestManager decides which
/// requests run.
///
/// Invariants: at most one request is in flight; each request gets exactly one response; nothing is written once the
/// lifecycle is lingering; a session is removed from its frontend's table on the loop turn after it was closed; a bounded
/// number of requests of one connection is parsed in one turn of the loop; no request is submitted after its peer has closed the
/// connection.
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

/// Request timeout of a connection that was rejected on accept.
inline constexpr base::Duration rejected_request_timeout{500'000};

/// Base class of the protocol sessions. Frontend and Session are friends and use each other's private members.
class Session : public net::Stream::Owner {
public:
    /// `frontend` owns the session and attaches the stream on accept.
    explicit Session(Frontend& frontend) : frontend_(frontend) {}

    /// net::Stream::Owner: buffers and parses the bytes, or discards them after the last response.
    void on_bytes(std::string_view bytes) final;
    /// net::Stream::Owner: the peer has sent its last byte. A truncated request gets the protocol's response, if
    /// there is one. Returns whether a response is still being written.
    bool on_eof() final;
    /// net::Stream::Owner: the stream has ended. Cancels the request in flight, if any, and removes the session.
    void on_end(bool connect_failed) final;

    /// Writes the final response to the request in flight. Without one, does nothing.
    void send_response(const request::Response& response);
    /// Writes the response to the health check in flight. Without one, does nothing.
    void send_health_response(bool is_healthy);

protected:
    /// Consumes bytes up to the end of one request and returns the number of bytes consumed. A complete or malformed
    /// request ends with a call of submit(), check_health() or reject_malformed().
    virtual std::size_t parse(std::string_view bytes) = 0;
    /// Whether a request has started and is incomplete.
    virtual bool has_partial_request() const = 0;
    /// Whether a request timeout gets a response. Otherwise the connection is closed without one.
    virtual bool expects_request() const { return has_partial_request(); }
    /// Formats the final response. `close`: the connection is closed after it, and the response says so.
    virtual std::string format_response(const request::Response& response, bool close) = 0;
    /// Formats the response to a health check.
    virtual std::string format_health_response(bool is_healthy, bool close) = 0;
    /// Formats the response to a request that is not complete in time.
    virtual std::string format_timeout_response() = 0;
    /// Formats the response to a request whose input ended before it was complete. Empty: no response.
    virtual std::string format_truncated_response() { return {}; }
    /// Whether protocol and peer allow another request on the connection.
    virtual bool keep_alive() const = 0;

    /// Passes a complete request to the request manager, or rejects it if the connection limiter does.
    void submit(request::IncomingRequest incoming);
    /// Answers a health check request. `deep`: the check includes the executor.
    void check_health(bool deep);
    /// Counts an invalid request and writes its response `bytes`.
    void reject_malformed(const std::string& bytes, bool close);
    /// Writes an interim response, such as 100 Continue, before the final one.
    void send_interim(std::string_view bytes);

    /// The frontend that owns the session.
    Frontend& frontend() const { return frontend_; }

private:
    friend class Frontend;

    /// The phase of the current request. `phase_timer_` is the timer of the phase.
    enum class RequestPhase : std::uint8_t {
        receiving,  // a request is awaited or incomplete; the timer is the request timeout
        in_flight,  // a complete request has no response yet; no timer
        idle,  // between two requests; the timer is the idle timeout, if there is one
        none,  // no further request is accepted; the timer ends the lingering close
    };
    /// The connection limiter's decision on the connection.
    enum class AdmissionState : std::uint8_t {
        admitted,
        rejected,  // holds a rejection slot: its request is read only to be rejected
        evicted,  // holds no slot: a request sent before the eviction is rejected
    };

    void process_input();
    void parse_pending_input(std::size_t max_requests);
    void continue_on_next_turn();
    void schedule_peer_check();
    void abandon();
    void pause_reading();
    void resume_reading();
    /// Whether the next request may be parsed: none is in flight, and the connection accepts one.
    bool can_parse() const;
    /// Whether requests that were read wait for the next turn of the loop.
    bool has_unparsed_requests() const { return continuation_.is_scheduled(); }
    void finish_request(const std::string& bytes, bool close);
    /// Writes a response to input that was not passed to the request manager.
    void respond_directly(const std::string& bytes, bool close);
    /// Puts the request in flight. Returns false if the connection limiter rejects it or the connection was evicted.
    bool try_admit_request();
    /// Whether the connection is closed after the next response.
    bool should_close_after_response() const;

    void start_idle_timer();
    base::Duration idle_timeout() const;
    void on_idle_timeout();
    void start_request_timer(base::Timestamp deadline);
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
    /// Bytes received but not yet parsed: an earlier request on the connection is still in flight.
    std::string pending_input_;
    ConnectionLifecycle lifecycle_;
    RequestPhase phase_ = RequestPhase::none;
    AdmissionState admission_ = AdmissionState::admitted;
    bool is_processing_input_ = false;
    bool is_reading_paused_ = false;
    base::TimerHandle phase_timer_;
    /// Parses the rest of the pending input.
    base::TimerHandle continuation_;
    /// Checks whether the peer has left while reading is paused.
    base::TimerHandle peer_check_;
    /// Bytes received after the last response.
    std::size_t discarded_bytes_ = 0;
    connection_admission::ConnectionSlotId connection_slot_ = 0;
    base::Timestamp idle_since_{0};
    /// Retry-After of a request that the connection limiter rejected.
    base::Duration retry_after_{0};
};

}  // namespace cressledge::frontend
