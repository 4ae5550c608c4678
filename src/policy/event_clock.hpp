// Tracks the time of events and detects pauses of the process between them.
//
// Invariants: the time never decreases; if the clock of the host runs backwards, the time stays at its latest
// value. A pause is never longer than the time since the previous event.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// The time of the current event.
class EventClock {
public:
    /// The effect of one event on the clock.
    struct Step {
        /// Seconds since the previous event, without pauses of the process.
        double elapsed_seconds = 0.0;
        bool is_first = false;
        /// Whether the time has advanced, which starts a new batch of events.
        bool is_later = false;
    };

    /// Advances to an event. `next_timer` is the earliest scheduled timer: if it fires later than a batch of
    /// events can explain, the process was paused and received no core time.
    Step advance(Timestamp event_time, Timestamp next_timer);

    Timestamp now() const { return now_; }
    /// Length of the pause of the process before this batch.
    Duration pause() const { return pause_; }
    /// Whether any event has been handled.
    bool is_started() const { return is_started_; }

private:
    Timestamp now_{0};
    Duration pause_{0};
    bool is_started_ = false;
};

}  // namespace cressledge::policy::aces
