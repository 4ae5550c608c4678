// Ends requests: by rejection, failure, cancellation or removal.
//
// Invariants: a request gets at most one final answer; a request in flight stays in the table until the host
// reports its end; a retained key is released when its request ends without having run.
#pragma once

#include "policy/controller_state.hpp"
#include "policy/retry_advisor.hpp"

namespace cressledge::policy::aces {

/// Ends requests and emits the actions that this requires.
class RequestFinalizer {
public:
    /// Both arguments must outlive the object.
    RequestFinalizer(ControllerState& state, const RetryAdvisor& retry_advisor)
        : state_(state), retry_advisor_(retry_advisor) {}

    /// Rejects a queued request; fails one that is not queued or is already answered.
    void reject(TrackedRequest& request);
    /// Answers the request with an error, unless it is answered, and stops its work.
    void fail(TrackedRequest& request);
    /// Handles a request for which the caller no longer waits.
    void cancel(TrackedRequest& request);
    /// Removes a finished request from the table.
    void remove(TrackedRequest& request);
    /// Releases the key of a request that did not run, so that a repeat may run.
    void release_key(const TrackedRequest& request);

private:
    RetryReading retry_reading() const;
    void stop_work(TrackedRequest& request);

    ControllerState& state_;
    const RetryAdvisor& retry_advisor_;
};

}  // namespace cressledge::policy::aces
