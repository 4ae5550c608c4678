// Whether the server drains, and until when.
//
// Invariants: a drain never ends but with the process; its grace counts from the first notice; the deadline
// leaves a margin before the end of the process.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// The drain of the server, if any.
class DrainState {
public:
    /// Requests that arrived within `grace` after the notice may still run.
    explicit DrainState(Duration grace) : grace_(grace) {}

    /// Takes in a notice that the process ends at `process_deadline`. The first may have come in while the
    /// process was paused: the grace counts from before the pause.
    void begin(Timestamp now, Duration pause, Timestamp process_deadline);
    bool is_draining() const { return is_draining_; }
    /// Whether the server drains and all must be over.
    bool has_ended(Timestamp now) const { return is_draining_ && now >= deadline_; }
    /// Whether a request that arrived then may no longer run.
    bool is_past_grace(Timestamp arrived_at) const;
    /// The earlier of `at` and the drain's deadline, if any.
    Timestamp bounded(Timestamp at) const;

private:
    Duration grace_;
    bool is_draining_ = false;
    Timestamp started_at_{0};
    Timestamp deadline_{0};
};

}  // namespace cressledge::policy::aces
