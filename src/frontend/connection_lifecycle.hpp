// How a connection ends: one machine for both fronts. "Takes no new request" and "is closed" are two states, and what
// lies between them is the lingering close: the write side is shut behind the last answer, and what the other side
// still sends is read and dropped until it has closed as well, or a deadline. A close over unread bytes would reset
// the connection and destroy the answer on its way.
//
// open      -> draining   it shall end: the next answer is the last one, and says so
// open      -> lingering  its last answer is written, or it rested and nobody had asked anything
// draining  -> lingering  the same; at the latest when everything else is over, as half a request owes nothing
// any       -> closed     the other side has closed, a deadline, a peer that reads nothing, or its descriptor is needed
//
// Invariants: a request is taken in open and draining only; nothing is written from lingering on; no state is left
// backwards.
#pragma once

#include <cstdint>

namespace cressledge::frontend {

class ConnectionLifecycle {
public:
    enum class Phase : std::uint8_t { open, draining, lingering, closed };

    bool accepts_requests() const { return phase_ <= Phase::draining; }
    bool announces_close() const { return phase_ == Phase::draining; }  // with the next answer
    bool is_lingering() const { return phase_ == Phase::lingering; }
    bool is_closed() const { return phase_ == Phase::closed; }
    // Each is true if the state is a new one.
    bool drain() { return enter(Phase::draining); }
    bool linger() { return enter(Phase::lingering); }
    bool close() { return enter(Phase::closed); }

private:
    bool enter(Phase phase) {
        if (phase <= phase_)
            return false;
        phase_ = phase;
        return true;
    }
    Phase phase_ = Phase::open;
};

// Connections that ended otherwise than by their peer, by what ended them; an answer may have gone before.
struct ClosedConnectionCounts {
    std::uint64_t malformed_requests = 0;  // what it sent is no request: answered 4xx
    std::uint64_t request_timeouts = 0;  // its request did not get whole in time
    std::uint64_t truncated_requests = 0;  // it shut its side in the middle of a request
    std::uint64_t idle_timeouts = 0;  // it rested too long
    std::uint64_t evicted = 0;  // its place or descriptor was another's
    std::uint64_t incomplete_at_shutdown = 0;  // at the exit: it had sent nothing, or half a request
    std::uint64_t excess_input = 0;  // it sent on and on behind its last answer
    std::uint64_t unread_responses = 0;  // it did not read its answers
};

}  // namespace cressledge::frontend
