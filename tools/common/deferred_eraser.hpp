/// Erases values of a slot map on the next turn of the event loop. For connections that end in a callback of their own:
/// their code is on the stack until it returns.
#pragma once

#include <utility>
#include <vector>

#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"

namespace cressledge::tools {

/// Erases values of `values`; must be destroyed before it. Values that still wait are left to the map.
template <class T>
class DeferredEraser {
public:
    /// `timers` and `values` must outlive it.
    DeferredEraser(base::TimerQueue& timers, base::SlotMap<T>& values) : timers_(timers), values_(values) {}
    DeferredEraser(const DeferredEraser&) = delete;
    DeferredEraser& operator=(const DeferredEraser&) = delete;

    /// Erases the value of that id on the next turn. The same id may be given twice.
    void erase(base::SlotId id) {
        ids_.push_back(id);
        if (timer_.is_scheduled())
            return;
        timer_ = timers_.schedule(base::Timestamp(0), [this] {
            for (const base::SlotId waiting : std::exchange(ids_, {}))
                values_.erase(waiting);
        });
    }

private:
    base::TimerQueue& timers_;
    base::SlotMap<T>& values_;
    std::vector<base::SlotId> ids_;
    base::TimerHandle timer_;
};

}  // namespace cressledge::tools
