// Issues, retries and skips the dependency calls of runs. README.md, "Decisions", explains each tuned value.
//
// Invariants: calls are issued in the order of service, within the limits of the dependency limiter; a call
// that may have run is repeated only for requests that may run again; no call is issued or skipped for a
// request that is answered; a call that can be skipped is skipped early enough for the run to meet its
// objective.
#pragma once

#include "policy/request_finalizer.hpp"
#include "policy/run_deadlines.hpp"

namespace cressledge::policy::aces {

/// Schedules the dependency calls of runs.
class DependencyCallScheduler {
public:
    /// All arguments must outlive the object.
    DependencyCallScheduler(ControllerState& state, const RunDeadlines& deadlines,
                            RequestFinalizer& finalizer)
        : state_(state), deadlines_(deadlines), finalizer_(finalizer) {}

    /// Handles a run that has reached its dependency call.
    void on_requested(const DependencyCallRequested& event);
    /// Handles the end of a call: the run continues, retries the call, skips it or fails.
    void on_finished(const DependencyCallFinished& event);
    /// Handles an expired timer of a request. Returns false if the timer was not for a retry or skip of a
    /// call.
    bool on_timer(TrackedRequest& request);
    /// Issues waiting calls while the dependency limiter allows it.
    void dispatch();
    /// If requests that wait for calls prevent new runs while cores idle, skips the calls of the lowest ones.
    void skip_calls_for_idle_cores();

private:
    /// Sets the timer of a request that waits for its call, or skips the call if it would end too late.
    void wait_for_call(TrackedRequest& request);
    void skip_call(TrackedRequest& request);
    void issue_call(TrackedRequest& request);
    void retry_later(TrackedRequest& request);
    bool can_retry(const TrackedRequest& request, Outcome outcome) const;
    /// Whether the call would end after the last time at which the answer has any value.
    bool is_too_late(const TrackedRequest& request) const;
    bool are_cores_idle() const;

    ControllerState& state_;
    const RunDeadlines& deadlines_;
    RequestFinalizer& finalizer_;
};

}  // namespace cressledge::policy::aces
