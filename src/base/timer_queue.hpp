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

class TimerQueue;

/// Owns a scheduled callback: cancels it when it is destroyed, or when another handle is assigned to it. A callback that
/// has run is no longer owned, and may destroy or assign its own handle while it runs.
///
/// Invariant: the queue outlives its handles. Owners therefore declare the queue, or the reference to it, first.
class [[nodiscard]] TimerHandle {
public:
    /// Owns nothing.
    TimerHandle() = default;
    ~TimerHandle() { cancel(); }
    TimerHandle(TimerHandle&& other) noexcept
        : queue_(std::exchange(other.queue_, nullptr)), id_(other.id_) {}
    TimerHandle& operator=(TimerHandle&& other) noexcept {
        TimerHandle former(std::move(other));
        std::swap(queue_, former.queue_);
        std::swap(id_, former.id_);
        return *this;
    }
    TimerHandle(const TimerHandle&) = delete;
    TimerHandle& operator=(const TimerHandle&) = delete;

    /// Cancels the callback. Does nothing where there is none, or where it has run already.
    void cancel() noexcept;

    /// Whether the callback is still to run.
    bool is_scheduled() const;

private:
    friend class TimerQueue;
    TimerHandle(TimerQueue& queue, std::uint64_t id) : queue_(&queue), id_(id) {}

    /// Null where nothing is owned.
    TimerQueue* queue_ = nullptr;
    std::uint64_t id_ = 0;
};

/// Callbacks in the order of their due times; those due at the same time run in the order of scheduling.
class TimerQueue {
public:
    TimerQueue() = default;
    /// Destroys callbacks one at a time: one may own the handle of another.
    ~TimerQueue() {
        while (!callbacks_.empty())
            callbacks_.extract(callbacks_.begin());
    }
    TimerQueue(const TimerQueue&) = delete;
    TimerQueue& operator=(const TimerQueue&) = delete;

    /// Schedules `callback` for `due`, until the handle cancels it. A time that lies in the past is allowed: it runs in
    /// the next `run_due`.
    [[nodiscard]] TimerHandle schedule(Timestamp due, std::function<void()> callback) {
        return {*this, add(due, std::move(callback))};
    }

    /// As `schedule`, for a callback that nobody cancels: what it uses outlives the last `run_due`, or is looked up when
    /// it runs.
    void schedule_detached(Timestamp due, std::function<void()> callback) { add(due, std::move(callback)); }

    /// The earliest due time, if anything is scheduled.
    std::optional<Timestamp> next_due() const {
        if (callbacks_.empty())
            return std::nullopt;
        return callbacks_.begin()->first.due;
    }

    /// Runs what is due at `now`. What a callback schedules waits for the next call even if it is due already, so that
    /// a callback that schedules itself again cannot keep the event loop from its other work.
    void run_due(Timestamp now) {
        const std::uint64_t newest_id = last_id_;
        for (auto it = callbacks_.begin(); it != callbacks_.end() && it->first.due <= now;) {
            if (it->first.id > newest_id) {
                ++it;
                continue;
            }
            const auto callback = std::move(it->second);
            due_times_.erase(it->first.id);
            callbacks_.erase(it);
            callback();
            // The callback may have changed the queue anywhere.
            it = callbacks_.begin();
        }
    }

private:
    friend class TimerHandle;

    struct Key {
        Timestamp due;
        std::uint64_t id;

        auto operator<=>(const Key&) const = default;
    };

    std::uint64_t add(Timestamp due, std::function<void()> callback) {
        const std::uint64_t id = ++last_id_;
        callbacks_.emplace(Key{due, id}, std::move(callback));
        due_times_[id] = due;
        return id;
    }

    void cancel(std::uint64_t id) {
        const auto it = due_times_.find(id);
        if (it == due_times_.end())
            return;
        // Taken out before it is destroyed: it may own another handle.
        const auto cancelled = callbacks_.extract(Key{it->second, id});
        due_times_.erase(it);
    }

    std::map<Key, std::function<void()>> callbacks_;
    std::unordered_map<std::uint64_t, Timestamp> due_times_;
    /// Ids are never used again.
    std::uint64_t last_id_ = 0;
};

inline void TimerHandle::cancel() noexcept {
    if (queue_ == nullptr)
        return;
    std::exchange(queue_, nullptr)->cancel(id_);
}

inline bool TimerHandle::is_scheduled() const {
    return queue_ != nullptr && queue_->due_times_.contains(id_);
}

}  // namespace cressledge::base
