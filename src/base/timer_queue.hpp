// Everything that is to happen at a point in time, in one ordered structure. Times are absolute, on the Unix
// clock; nothing here knows how long anybody meant to wait.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "policy/admission_controller.hpp"

namespace cressledge::base {

using policy::Duration;
using policy::Timestamp;

class Clock {
public:
    virtual ~Clock() = default;
    virtual Timestamp unix_now() = 0;
};

class TimerQueue {
public:
    using Handle = std::uint64_t;  // 0: none

    Handle schedule(Timestamp due, std::function<void()> callback) {
        const Handle handle = ++last_handle_;
        callbacks_.emplace(std::pair{due, handle}, std::move(callback));
        due_times_[handle] = due;
        return handle;
    }
    void cancel(Handle& handle) {
        if (const auto it = due_times_.find(handle); it != due_times_.end()) {
            callbacks_.erase({it->second, handle});
            due_times_.erase(it);
        }
        handle = 0;
    }
    std::optional<Timestamp> next_due() const {
        if (callbacks_.empty())
            return std::nullopt;
        return callbacks_.begin()->first.first;
    }
    // Guards against a deadline that sets another one already due: what is set in here waits for the next turn.
    void run_due(Timestamp now) {
        const Handle newest_handle = last_handle_;
        for (auto it = callbacks_.begin(); it != callbacks_.end() && it->first.first <= now;) {
            if (it->first.second > newest_handle) {
                ++it;
                continue;
            }
            const auto callback = std::move(it->second);
            due_times_.erase(it->first.second);
            callbacks_.erase(it);
            callback();
            it = callbacks_.begin();
        }
    }

private:
    std::map<std::pair<Timestamp, Handle>, std::function<void()>> callbacks_;
    std::unordered_map<Handle, Timestamp> due_times_;
    Handle last_handle_ = 0;
};

}  // namespace cressledge::base
