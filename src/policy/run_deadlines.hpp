// Computes the times by which a request must start, skip its call or be given up. README.md, "Decisions",
// explains each tuned value.
//
// Invariants: no function changes state; while the server drains, the latest start leaves time for the run
// before the drain deadline; the time to give up is never in the past.
#pragma once

#include "policy/controller_state.hpp"

namespace cressledge::policy::aces {

/// Computes deadlines of requests from the current estimates.
class RunDeadlines {
public:
    /// `state` must outlive the object.
    explicit RunDeadlines(const ControllerState& state) : state_(state) {}

    /// Latest time at which the request can start and still earn its full weight.
    Timestamp latest_start(const TrackedRequest& request) const;
    /// Latest time at which the request can skip its call and still meet its objective.
    Timestamp latest_skip(const TrackedRequest& request) const;
    /// Time at which an unanswered request is given up: its deadline if a late answer has value or runs
    /// cannot be stopped, else its objective, because the core is then better used for another request.
    Timestamp give_up_at(const TrackedRequest& request) const;

private:
    /// Expected latency of a run, including the calls queued ahead if the run requires its call.
    double expected_run_seconds(const TrackedRequest& request) const;

    const ControllerState& state_;
};

}  // namespace cressledge::policy::aces
