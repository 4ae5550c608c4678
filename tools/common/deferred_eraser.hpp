/// Erases values of a slot map in the next iteration of the event loop. Used for connections that are closed from one
/// of their own callbacks, whose code is still on the stack.
#pragma once

#include <utility>
#include <vector>

#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"

namespace cressledge::tools {

/// Erases values of a slot map, which must outlive it. Values not erased when it is destroyed stay in the map.
template <class T>
class DeferredEraser {
public:
    /// `timers` and `values` must outlive this object.
    DeferredEraser(base::TimerQueue& timers, base::SlotMap<T>& values) : timers_(timers), values_(values) {}
    DeferredEraser(const DeferredEraser&) = delete;
    DeferredEraser& operator=(const DeferredEraser&) = delete;

    /// Erases the value with that id in the next iteration. The same id may be passed more than once.
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
