// Which queued request runs next, and what the end of a run teaches. README.md, "Decisions", has the reason
// for each tuned value.
//
// Invariants: a run starts only within the limits of running requests, requests in flight and memory;
// nothing starts that arrived after the grace of a drain, or after its end.
#pragma once

#include "policy/request_finalizer.hpp"
#include "policy/run_deadlines.hpp"

namespace cressledge::policy::aces {

/// Starts runs and takes in their ends.
class RunDispatcher {
public:
    /// All must outlive the object.
    RunDispatcher(ControllerState& state, const RunDeadlines& deadlines, RequestFinalizer& finalizer)
        : state_(state), deadlines_(deadlines), finalizer_(finalizer) {}

    /// Starts queued requests, first the first, as long as they may run.
    void dispatch();
    /// A run or a replay is over.
    void on_finished(const RunFinished& event);

private:
    bool can_run(const TrackedRequest& request) const;
    /// Takes in a run that is off the cores, so that its quanta are complete.
    void learn(const TrackedRequest& request, Outcome outcome, bool was_busy);

    ControllerState& state_;
    const RunDeadlines& deadlines_;
    RequestFinalizer& finalizer_;
};

}  // namespace cressledge::policy::aces
