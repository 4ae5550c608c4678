// The time of the events, and pauses of the process between them.
//
// Invariants: the time never runs backwards: where the host's does, it stays at the latest; a pause is a
// part of the time since the event before.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Time of the event in hand.
class EventClock {
public:
    /// What one event moved.
    struct Step {
        /// Seconds since the event before in which the process was not paused.
        double elapsed_seconds = 0.0;
        bool is_first = false;
        /// Time has moved: another batch of events begins.
        bool is_later = false;
    };

    /// Moves on to an event. `next_timer` is the earliest timer asked for: that it comes later than any
    /// batch of events does proves a pause of the process, in which no core time was given.
    Step advance(Timestamp event_time, Timestamp next_timer);

    Timestamp now() const { return now_; }
    /// How long the process stood still before this batch.
    Duration pause() const { return pause_; }
    /// Whether any event has come.
    bool is_started() const { return is_started_; }
    /// Time of the first event.
    Timestamp started_at() const { return started_at_; }

private:
    Timestamp now_{0};
    Timestamp started_at_{0};
    Duration pause_{0};
    bool is_started_ = false;
};

}  // namespace cressledge::policy::aces
