#include "policy/memory_evictor.hpp"

namespace cressledge::policy::aces {

bool MemoryEvictor::evict_until_fits(const TrackedRequest& request, double extra_kb,
                                     double max_memory_fraction) {
    const double memory_kb = state_.settings.memory_kb;
    while (state_.requests.used_memory_kb() + extra_kb > max_memory_fraction * memory_kb) {
        const RequestId last = state_.requests.run_queue().last();
        if (last == request.id)
            return false;
        const double used_fraction = state_.requests.used_memory_kb() / memory_kb;
        state_.actions.log(state_.clock.now(), "queued request evicted used_memory_fraction", used_fraction);
        finalizer_.reject(state_.requests.at(last));
    }
    return true;
}

}  // namespace cressledge::policy::aces
