// The drain state of the server and its deadline.
//
// Invariants: a drain ends only with the process; its grace starts at the first notice; the drain deadline
// lies a fixed margin before the end of the process.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Tracks whether the server is draining.
class DrainState {
public:
    /// Requests that arrive within `grace` after the first notice may still run.
    explicit DrainState(Duration grace) : grace_(grace) {}

    /// Handles a notice that the process ends at `process_deadline`. `notice_age` is the time since the first
    /// notice, with which the grace starts: it may have come in a pause or before new settings.
    void begin(Timestamp now, Duration notice_age, Timestamp process_deadline);
    bool is_draining() const { return is_draining_; }
    /// Whether the drain deadline has passed.
    bool has_ended(Timestamp now) const { return is_draining_ && now >= deadline_; }
    /// Whether a request that arrived at `arrived_at` may no longer run.
    bool is_past_grace(Timestamp arrived_at) const;
    /// The earlier of `at` and the drain deadline; `at` if the server is not draining.
    Timestamp bounded(Timestamp at) const;

private:
    Duration grace_;
    bool is_draining_ = false;
    Timestamp started_at_{0};
    Timestamp deadline_{0};
};

}  // namespace cressledge::policy::aces
