// Everything that is to happen at a point in time, in one ordered structure. Times are absolute, on the Unix
// clock; nothing here knows how long anybody meant to wait.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "control.hpp"

namespace cressledge::core {

using curlewreel::Span;
using curlewreel::Time;

class Clock {
public:
    virtual ~Clock() = default;
    virtual Time unix_now() = 0;
};

class Deadlines {
public:
    using Handle = std::uint64_t;  // 0: none

    Handle at(Time when, std::function<void()> what) {
        const Handle handle = ++last_;
        entries_.emplace(std::pair{when, handle}, std::move(what));
        when_[handle] = when;
        return handle;
    }
    void cancel(Handle& handle) {
        if (const auto it = when_.find(handle); it != when_.end()) {
            entries_.erase({it->second, handle});
            when_.erase(it);
        }
        handle = 0;
    }
    std::optional<Time> next() const {
        if (entries_.empty()) return std::nullopt;
        return entries_.begin()->first.first;
    }
    // Guards against a deadline that sets another one already due: what is set in here waits for the next turn.
    void run(Time now) {
        const Handle newest = last_;
        for (auto it = entries_.begin(); it != entries_.end() && it->first.first <= now;) {
            if (it->first.second > newest) {
                ++it;
                continue;
            }
            const auto what = std::move(it->second);
            when_.erase(it->first.second);
            entries_.erase(it);
            what();
            it = entries_.begin();
        }
    }

private:
    std::map<std::pair<Time, Handle>, std::function<void()>> entries_;
    std::unordered_map<Handle, Time> when_;
    Handle last_ = 0;
};

}  // namespace cressledge::core
