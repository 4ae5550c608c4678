// Resolves repeats of a request: a repeat takes the place of its original or shares its result. Also decides
// how long idempotency keys are retained.
//
// Invariants: of a request that needs a key and its repeats, at most one runs within the window; the key is
// retained for as long as a repeat may come, and counts as used memory during that time.
#pragma once

#include "policy/memory_evictor.hpp"
#include "policy/run_deadlines.hpp"

namespace cressledge::policy::aces {

/// Joins repeats with their originals and retains the keys by which repeats are recognized.
class RepeatResolver {
public:
    /// All arguments must outlive the object.
    RepeatResolver(ControllerState& state, const RunDeadlines& deadlines, RequestFinalizer& finalizer,
                   MemoryEvictor& evictor)
        : state_(state), deadlines_(deadlines), finalizer_(finalizer), evictor_(evictor) {}

    /// Lets the repeat `request` take the place of an original that is still queued, or share the result of
    /// one that has started. `original` is null if it is finished. Returns false if the class allows neither.
    bool join_original(TrackedRequest& request, TrackedRequest* original);
    /// Retains the key of a request that may run only once, or of one whose result may be shared.
    void retain_key(TrackedRequest& request, bool is_shareable);

private:
    void replace(TrackedRequest& request, TrackedRequest& original);
    void replay_result(TrackedRequest& request);
    bool can_share_result(const TrackedRequest& request, bool is_shareable) const;

    ControllerState& state_;
    const RunDeadlines& deadlines_;
    RequestFinalizer& finalizer_;
    MemoryEvictor& evictor_;
};

}  // namespace cressledge::policy::aces
