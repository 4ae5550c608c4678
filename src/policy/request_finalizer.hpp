// The ends of requests: rejected, failed, cancelled, removed.
//
// Invariants: a request gets one final answer at most; work that is in flight stays in the table until the
// host reports its end; a key is released when the request that it was retained for ends unrun.
#pragma once

#include "policy/controller_state.hpp"
#include "policy/retry_advisor.hpp"

namespace cressledge::policy::aces {

/// Ends requests, each way in one place.
class RequestFinalizer {
public:
    /// Both must outlive the object.
    RequestFinalizer(ControllerState& state, const RetryAdvisor& retry_advisor)
        : state_(state), retry_advisor_(retry_advisor) {}

    /// Rejects a queued request; one that is not queued, or answered, fails.
    void reject(TrackedRequest& request);
    /// Answers with an error, and stops the work.
    void fail(TrackedRequest& request);
    /// The caller no longer waits.
    void cancel(TrackedRequest& request);
    /// The request is over: forgets it.
    void remove(TrackedRequest& request);
    /// The key's request did not run: a repeat may.
    void release_key(const TrackedRequest& request);

private:
    RetryReading retry_reading() const;
    void stop_work(TrackedRequest& request);

    ControllerState& state_;
    const RetryAdvisor& retry_advisor_;
};

}  // namespace cressledge::policy::aces
