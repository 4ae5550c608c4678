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
#include <utility>

#include "base/clock.hpp"

namespace cressledge::base {

class TimerQueue;

/// Where a callback stands in a queue: by its due time, then in the order of scheduling.
struct TimerPosition {
    Timestamp due{0};
    /// Never used again in the same queue.
    std::uint64_t sequence = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): the literal 0 is the compiler's own.
    auto operator<=>(const TimerPosition&) const = default;
};

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
        : queue_(std::exchange(other.queue_, nullptr)), position_(other.position_) {}
    TimerHandle& operator=(TimerHandle&& other) noexcept {
        TimerHandle former(std::move(other));
        std::swap(queue_, former.queue_);
        std::swap(position_, former.position_);
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
    TimerHandle(TimerQueue& queue, TimerPosition position) : queue_(&queue), position_(position) {}

    /// Null where nothing is owned.
    TimerQueue* queue_ = nullptr;
    TimerPosition position_;
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
        const std::uint64_t newest_sequence = last_sequence_;
        for (auto it = callbacks_.begin(); it != callbacks_.end() && it->first.due <= now;) {
            if (it->first.sequence > newest_sequence) {
                ++it;
                continue;
            }
            const auto callback = std::move(it->second);
            callbacks_.erase(it);
            callback();
            // The callback may have changed the queue anywhere.
            it = callbacks_.begin();
        }
    }

private:
    friend class TimerHandle;

    TimerPosition add(Timestamp due, std::function<void()> callback) {
        const TimerPosition position{due, ++last_sequence_};
        callbacks_.emplace(position, std::move(callback));
        return position;
    }

    std::map<TimerPosition, std::function<void()>> callbacks_;
    std::uint64_t last_sequence_ = 0;
};

inline void TimerHandle::cancel() noexcept {
    if (queue_ == nullptr)
        return;
    // Taken out before it is destroyed: it may own another handle, or this one.
    const auto cancelled = std::exchange(queue_, nullptr)->callbacks_.extract(position_);
}

inline bool TimerHandle::is_scheduled() const {
    return queue_ != nullptr && queue_->callbacks_.contains(position_);
}

}  // namespace cressledge::base
