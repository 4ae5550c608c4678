// When the dependency calls of runs are issued, retried or skipped. README.md, "Decisions", has the reason
// for each tuned value.
//
// Invariants: calls are issued in the order of service, within what the dependency limiter allows; a call
// that may have run is repeated only for requests that may run again; what can go on without its call is
// skipped in time for its objective.
#pragma once

#include "policy/request_finalizer.hpp"
#include "policy/run_deadlines.hpp"

namespace cressledge::policy::aces {

/// Takes runs through their dependency calls.
class DependencyCallScheduler {
public:
    /// All must outlive the object.
    DependencyCallScheduler(ControllerState& state, const RunDeadlines& deadlines,
                            RequestFinalizer& finalizer)
        : state_(state), deadlines_(deadlines), finalizer_(finalizer) {}

    /// A run stands at its call.
    void on_requested(const DependencyCallRequested& event);
    /// A call is over: its run goes on, retries the call, skips it or fails.
    void on_finished(const DependencyCallFinished& event);
    /// The timer of a request has come; false where that is not for a call to be retried or skipped.
    bool on_timer(TrackedRequest& request);
    /// Issues waiting calls as long as the dependency limiter allows.
    void dispatch();
    /// Where waiters for calls are all that may be in flight, the lowest go on without: cores would idle.
    void skip_calls_for_idle_cores();

private:
    /// Sets the timer of a request that waits for its call, or skips the call where it would be late.
    void wait_for_call(TrackedRequest& request);
    void skip_call(TrackedRequest& request);
    void issue_call(TrackedRequest& request);
    void retry_later(TrackedRequest& request);
    bool can_retry(const TrackedRequest& request, Outcome outcome) const;
    /// Whether the call cannot be back while its answer still earns anything.
    bool is_too_late(const TrackedRequest& request) const;
    bool are_cores_idle() const;

    ControllerState& state_;
    const RunDeadlines& deadlines_;
    RequestFinalizer& finalizer_;
};

}  // namespace cressledge::policy::aces
