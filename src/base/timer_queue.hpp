/// One ordered queue of everything that is to happen at a point in time.
///
/// Due times are absolute Unix times; the queue reads no clock and knows no time-outs. Its owner asks `next_due` how
/// long it may sleep and calls `run_due`. Not thread-safe: the queue belongs to the thread of the event loop.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/clock.hpp"

namespace cressledge::base {

/// Callbacks in the order of their due times; those due at the same time run in the order of scheduling.
class TimerQueue {
public:
    /// Names a scheduled callback. Handles are never used again; 0 names none.
    using Handle = std::uint64_t;

    /// Schedules `callback` for `due`. A time that lies in the past is allowed: it runs in the next `run_due`.
    Handle schedule(Timestamp due, std::function<void()> callback) {
        const Handle handle = ++last_handle_;
        callbacks_.emplace(Key{due, handle}, std::move(callback));
        due_times_[handle] = due;
        return handle;
    }

    /// Cancels a callback and sets `handle` to 0. Does nothing where it has run already.
    void cancel(Handle& handle) {
        if (const auto it = due_times_.find(handle); it != due_times_.end()) {
            callbacks_.erase(Key{it->second, handle});
            due_times_.erase(it);
        }
        handle = 0;
    }

    /// The earliest due time, if anything is scheduled.
    std::optional<Timestamp> next_due() const {
        if (callbacks_.empty())
            return std::nullopt;
        return callbacks_.begin()->first.due;
    }

    /// Runs what is due at `now`. What a callback schedules waits for the next call even if it is due already, so that
    /// a callback that schedules itself again cannot keep the event loop from its other work.
    void run_due(Timestamp now) {
        const Handle newest_handle = last_handle_;
        for (auto it = callbacks_.begin(); it != callbacks_.end() && it->first.due <= now;) {
            if (it->first.handle > newest_handle) {
                ++it;
                continue;
            }
            const auto callback = std::move(it->second);
            due_times_.erase(it->first.handle);
            callbacks_.erase(it);
            callback();
            // The callback may have changed the queue anywhere.
            it = callbacks_.begin();
        }
    }

private:
    struct Key {
        Timestamp due;
        Handle handle;

        // NOLINTNEXTLINE(modernize-use-nullptr): the literal 0 is the compiler's own.
        auto operator<=>(const Key&) const = default;
    };

    std::map<Key, std::function<void()>> callbacks_;
    std::unordered_map<Handle, Timestamp> due_times_;
    Handle last_handle_ = 0;
};

}  // namespace cressledge::base
