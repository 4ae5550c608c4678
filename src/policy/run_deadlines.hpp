// The times by which a request must start, skip its call or be given up. README.md, "Decisions", has the
// reason for each tuned value.
//
// Invariants: nothing here changes state; while the server drains, no start is later than the drain's
// deadline less the run; no time to give up lies in the past.
#pragma once

#include "policy/controller_state.hpp"

namespace cressledge::policy::aces {

/// Computes times of requests from the estimates of the moment.
class RunDeadlines {
public:
    /// `state` must outlive the object.
    explicit RunDeadlines(const ControllerState& state) : state_(state) {}

    /// Until when the request may start and still be answered at its full weight.
    Timestamp latest_start(const TrackedRequest& request) const;
    /// What goes on without its call from here is back by its objective.
    Timestamp latest_skip(const TrackedRequest& request) const;
    /// When work on the request ends without an answer. After the objective a late answer may still earn;
    /// without that the core is better used for another.
    Timestamp give_up_at(const TrackedRequest& request) const;

private:
    /// Latency of a run, with the calls that are queued ahead where it fails without its call.
    double expected_run_seconds(const TrackedRequest& request) const;

    const ControllerState& state_;
};

}  // namespace cressledge::policy::aces
