/// State machine for closing a connection, the same for every protocol.
///
/// A connection that accepts no new request is not closed at once but lingers: the write side is shut down after the
/// last response, and further input is read and discarded until the peer closes too or a timeout expires. A close with
/// unread input would reset the connection and destroy a response in transit (RFC 9112, section 9.6).
///
///     open      -> draining   the connection is to be closed: the next response is the last one and says so
///     open      -> lingering  the last response was written, or the connection was idle
///     draining  -> lingering  the same; at the latest when no other request is unfinished
///     any       -> closed     the peer closed, a timeout expired, the peer does not read, or the descriptor is needed
///
/// Invariants: requests are accepted in open and draining only; nothing is written in lingering and closed; a state is
/// never entered again.
#pragma once

#include <cstdint>

namespace cressledge::frontend {

/// The closing state of one connection.
class ConnectionLifecycle {
public:
    /// Whether further requests are read and answered.
    bool accepts_requests() const { return phase_ <= Phase::draining; }
    /// Whether the next response says that the connection is closed after it.
    bool announces_close() const { return phase_ == Phase::draining; }
    /// Whether the last response has been written and the connection waits for the peer to close.
    bool is_lingering() const { return phase_ == Phase::lingering; }
    /// Whether the connection is closed.
    bool is_closed() const { return phase_ == Phase::closed; }

    // Each transition returns false if the state or a later one was already reached.
    /// Makes the next response the last one.
    bool drain() { return enter(Phase::draining); }
    /// After the last response: waits for the peer to close.
    bool linger() { return enter(Phase::lingering); }
    /// Enters the final state.
    bool close() { return enter(Phase::closed); }

private:
    enum class Phase : std::uint8_t { open, draining, lingering, closed };

    bool enter(Phase phase) {
        if (phase <= phase_)
            return false;
        phase_ = phase;
        return true;
    }

    Phase phase_ = Phase::open;
};

/// Connections that were not closed by their peer alone, by cause. A response may have been sent before the close.
struct ClosedConnectionCounts {
    /// The request was invalid and got a 4xx.
    std::uint64_t malformed_requests = 0;
    /// The request was not complete in time.
    std::uint64_t request_timeouts = 0;
    /// The peer shut down its write side within a request.
    std::uint64_t truncated_requests = 0;
    /// The connection was without a request for the idle timeout.
    std::uint64_t idle_timeouts = 0;
    /// The connection slot or the descriptor went to another connection.
    std::uint64_t evicted = 0;
    /// At shutdown the connection had sent nothing or only a part of a request.
    std::uint64_t incomplete_at_shutdown = 0;
    /// The peer sent too much input after the last response.
    std::uint64_t excess_input = 0;
    /// The peer did not read its responses.
    std::uint64_t unread_responses = 0;
    /// The peer closed the connection before requests that it had sent were run.
    std::uint64_t abandoned = 0;
};

}  // namespace cressledge::frontend
