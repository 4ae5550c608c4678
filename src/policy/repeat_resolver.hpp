// Repeats of a request: whose place they take, whose result they share, and how long keys are retained.
//
// Invariants: of a request and its repeats that need a key at most one runs within the window; the key is
// retained for as long as a repeat may come, and is counted as memory meanwhile.
#pragma once

#include "policy/memory_evictor.hpp"
#include "policy/run_deadlines.hpp"

namespace cressledge::policy::aces {

/// Joins repeats with their originals, and retains the keys that make repeats known.
class RepeatResolver {
public:
    /// All must outlive the object.
    RepeatResolver(ControllerState& state, const RunDeadlines& deadlines, RequestFinalizer& finalizer,
                   MemoryEvictor& evictor)
        : state_(state), deadlines_(deadlines), finalizer_(finalizer), evictor_(evictor) {}

    /// A queued repeat takes the place of an original that never ran, and shares the result of one that did
    /// (`original` is null where that is over). False where the class allows neither.
    bool join_original(TrackedRequest& request, TrackedRequest* original);
    /// Retains the key of what must run once, and the result of what may be shared.
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
