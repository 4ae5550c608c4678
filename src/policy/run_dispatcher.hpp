// Starts queued requests and learns from the runs that end. README.md, "Decisions", explains each tuned
// value.
//
// Invariants: a run starts only within the limits on running requests, requests in flight and memory; a
// request that arrived after the grace of a drain never starts, and no request starts after the drain
// deadline.
#pragma once

#include "policy/request_finalizer.hpp"
#include "policy/run_deadlines.hpp"

namespace cressledge::policy::aces {

/// Starts runs and handles their ends.
class RunDispatcher {
public:
    /// All arguments must outlive the object.
    RunDispatcher(ControllerState& state, const RunDeadlines& deadlines, RequestFinalizer& finalizer)
        : state_(state), deadlines_(deadlines), finalizer_(finalizer) {}

    /// Starts queued requests in the order of the run queue while the next one may run.
    void dispatch();
    /// Handles the end of a run or a replay.
    void on_finished(const RunFinished& event);

private:
    bool can_run(const TrackedRequest& request) const;
    /// Updates the estimates from a run that has left the cores, so that its used quanta are final.
    /// `was_busy` is whether requests were queued when it ended.
    void learn(const TrackedRequest& request, Outcome outcome, bool was_busy);

    ControllerState& state_;
    const RunDeadlines& deadlines_;
    RequestFinalizer& finalizer_;
};

}  // namespace cressledge::policy::aces
