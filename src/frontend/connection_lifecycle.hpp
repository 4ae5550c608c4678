/// How a connection ends; one state machine for every protocol.
///
/// "Takes no new request" and "is closed" are two states. Between them lies the lingering close: the write side is shut
/// behind the last response, and what the peer still sends is read and dropped until the peer has closed as well or a
/// deadline passes. A close with bytes still unread would reset the connection and destroy the response on its way (RFC
/// 9112, section 9.6).
///
///     open      -> draining   the connection shall end: the next response is the last one, and says so
///     open      -> lingering  the last response is written, or the connection was idle
///     draining  -> lingering  the same; at the latest when every other request has ended
///     any       -> closed     the peer has closed, a deadline, a peer that reads nothing, or the descriptor is needed
///
/// Invariants: requests are taken in open and draining only; nothing is written from lingering on; no state is left
/// backwards.
#pragma once

#include <cstdint>

namespace cressledge::frontend {

/// The state of one connection on its way to its end.
class ConnectionLifecycle {
public:
    /// Whether a request may still be read and answered.
    bool accepts_requests() const { return phase_ <= Phase::draining; }
    /// Whether the next response says that the connection is closed after it.
    bool announces_close() const { return phase_ == Phase::draining; }
    /// Whether the response has been written and the connection waits for the peer to close.
    bool is_lingering() const { return phase_ == Phase::lingering; }
    /// Whether the connection is closed.
    bool is_closed() const { return phase_ == Phase::closed; }

    /// Each transition returns whether the state is a new one.
    bool drain() { return enter(Phase::draining); }
    /// After the last response: wait for the peer to close.
    bool linger() { return enter(Phase::lingering); }
    /// The end; no state follows.
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

/// Connections that ended otherwise than by their peer, by what ended them. A response may have been sent before.
struct ClosedConnectionCounts {
    /// The input was no valid request and was answered with a 4xx.
    std::uint64_t malformed_requests = 0;
    /// The request was not complete in time.
    std::uint64_t request_timeouts = 0;
    /// The peer shut its side in the middle of a request.
    std::uint64_t truncated_requests = 0;
    std::uint64_t idle_timeouts = 0;
    /// The slot or the descriptor was given to another connection.
    std::uint64_t evicted = 0;
    /// At shutdown the connection had sent nothing, or an incomplete request.
    std::uint64_t incomplete_at_shutdown = 0;
    /// The peer went on sending after its last response.
    std::uint64_t excess_input = 0;
    /// The peer did not read its responses.
    std::uint64_t unread_responses = 0;
};

}  // namespace cressledge::frontend
