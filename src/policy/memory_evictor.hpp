// Evicts queued requests while memory is short.
//
// Invariants: only queued requests are evicted, the last in the run queue first; each is rejected.
#pragma once

#include "policy/request_finalizer.hpp"

namespace cressledge::policy::aces {

/// Frees memory for an arriving request.
class MemoryEvictor {
public:
    /// Both arguments must outlive the object.
    MemoryEvictor(ControllerState& state, RequestFinalizer& finalizer)
        : state_(state), finalizer_(finalizer) {}

    /// Evicts queued requests until the used memory plus `extra_kb` fits into `max_memory_fraction` of the
    /// memory. Returns false if the queued `request` itself would be evicted next; it is left in the queue.
    bool evict_until_fits(const TrackedRequest& request, double extra_kb, double max_memory_fraction);

private:
    ControllerState& state_;
    RequestFinalizer& finalizer_;
};

}  // namespace cressledge::policy::aces
