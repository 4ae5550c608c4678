// Closing of a session: idle timeout, drain, eviction, close by the peer, and the lingering close.
#include <limits>
#include <utility>

#include "frontend/frontend.hpp"
#include "frontend/session.hpp"

namespace cressledge::frontend {
namespace {

/// Limits the bytes that are read and discarded after the last response. They are read because a close with unread
/// input would reset the connection and destroy the response.
constexpr std::size_t max_discarded_bytes = 1U << 20U;
/// Time for a peer to read the last response and close the connection.
constexpr base::Duration linger_timeout{1'000'000};

}  // namespace

// The write side is shut down: further input is discarded and never runs.
void Session::discard(std::size_t size) {
    discarded_bytes_ += size;
    // Bounds the work for a peer that keeps sending. A response that it has not read by now may be lost.
    if (discarded_bytes_ <= max_discarded_bytes)
        return;
    ++frontend_.closed_connections_.excess_input;
    close_and_remove();
}

// Reads the input that has arrived. To be called before the connection is closed: a request that the peer has already
// sent is still accepted. Returns true if a request is now in flight or the input has ended the connection.
bool Session::read_pending() {
    if (has_unparsed_requests()) {
        continuation_.cancel();
        parse_pending_input(std::numeric_limits<std::size_t>::max());
        if (can_parse())
            resume_reading();
    }
    if (stream_ != nullptr)
        stream_->read_pending();
    return stream_ == nullptr || !can_parse() || has_unparsed_requests();
}

// Shuts down the write side and waits for the peer to close. A close with unread input would reset the connection and
// destroy the response.
void Session::start_lingering() {
    if (!lifecycle_.linger())
        return;
    phase_ = RequestPhase::none;
    std::string().swap(pending_input_);
    stream_->shut_down_writes();
    resume_reading();
    phase_timer_ = frontend_.timers_.schedule(frontend_.request_manager_.now() + linger_timeout,
                                              [this] { close_and_remove(); });
}

// Makes the next response the last one. A connection without a request is closed now.
void Session::start_drain() {
    if (!lifecycle_.drain() || phase_ == RequestPhase::in_flight || read_pending() || has_partial_request())
        return;
    frontend_.admitter_.limiter().on_response_sent(frontend_.request_manager_.now(), connection_slot_, false);
    start_lingering();
}

// The connection's slot goes to another connection. A request that was already sent has not run and is rejected.
// Without one the connection is closed without lingering, which releases its descriptor at once.
void Session::evict() {
    ++frontend_.closed_connections_.evicted;
    admission_ = AdmissionState::evicted;
    const bool awaits_request = lifecycle_.accepts_requests() && phase_ != RequestPhase::in_flight;
    if (awaits_request && read_pending() && lifecycle_.is_lingering())
        return;
    close_and_remove();
}

// Returns the shorter of the admission controller's limit and the configured timeout. 0: none.
base::Duration Session::idle_timeout() const {
    const base::Duration requested = frontend_.idle_limit_;
    const base::Duration configured = frontend_.limits_.idle_timeout;
    if (requested <= base::Duration(0))
        return configured;
    return configured > base::Duration(0) && configured < requested ? configured : requested;
}

void Session::start_idle_timer() {
    phase_timer_.cancel();
    if (std::exchange(phase_, RequestPhase::idle) != RequestPhase::idle)
        idle_since_ = frontend_.request_manager_.now();
    const base::Duration timeout = idle_timeout();
    if (timeout <= base::Duration(0))
        return;
    phase_timer_ = frontend_.timers_.schedule(idle_since_ + timeout, [this] { on_idle_timeout(); });
}

void Session::on_idle_timeout() {
    // A request may have arrived that is still unread: then the connection is not idle.
    if (read_pending() || phase_timer_.is_scheduled())
        return;
    ++frontend_.closed_connections_.idle_timeouts;
    frontend_.admitter_.limiter().on_response_sent(frontend_.request_manager_.now(), connection_slot_, false);
    start_lingering();
}

bool Session::on_eof() {
    // The peer may still read its response. The linger timeout bounds that.
    if (lifecycle_.is_lingering())
        return stream_->has_unwritten_bytes();
    if (phase_ == RequestPhase::in_flight || !lifecycle_.accepts_requests() || !has_partial_request())
        return false;
    ++frontend_.closed_connections_.truncated_requests;
    const std::string response = format_truncated_response();
    if (response.empty())
        return false;
    respond_directly(response, true);
    return true;
}

void Session::on_end(bool) {
    stream_ = nullptr;
    phase_ = RequestPhase::none;
    const request::RequestId request_id = std::exchange(request_id_, 0);
    if (request_id != 0)
        frontend_.request_manager_.cancel(request_id);
    close_and_remove();
}

void Session::close_and_remove() {
    frontend_.admitter_.limiter().release_connection(connection_slot_);
    lifecycle_.close();
    if (stream_ != nullptr)
        std::exchange(stream_, nullptr)->close();
    // A member function of this session may still be on the stack: it is removed on the next turn of the loop.
    phase_timer_ = frontend_.timers_.schedule(
        base::Timestamp(0), [frontend = &frontend_, id = id_] { frontend->remove_session(id); });
}

}  // namespace cressledge::frontend
