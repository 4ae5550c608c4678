// Eviction of queued requests while memory is short.
//
// Invariants: only queued requests are evicted, the one that is missed least first; each is rejected.
#pragma once

#include "policy/request_finalizer.hpp"

namespace cressledge::policy::aces {

/// Frees memory for a request that has arrived.
class MemoryEvictor {
public:
    /// Both must outlive the object.
    MemoryEvictor(ControllerState& state, RequestFinalizer& finalizer)
        : state_(state), finalizer_(finalizer) {}

    /// Evicts queued requests until what is used and `extra_kb` fit into `max_share` of the memory. False
    /// where the queued `request` itself would be next: it stays, and does not fit.
    bool evict_until_fits(const TrackedRequest& request, double extra_kb, double max_share);

private:
    ControllerState& state_;
    RequestFinalizer& finalizer_;
};

}  // namespace cressledge::policy::aces
