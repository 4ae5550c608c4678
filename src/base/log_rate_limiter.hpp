/// Limits the rate of one kind of log line, so that a peer cannot flood the log by causing a line with each message.
#pragma once

#include <cstdint>
#include <utility>

#include "base/clock.hpp"

namespace cressledge::base {

/// Allows one line per second and counts the lines suppressed in between.
class LogRateLimiter {
public:
    /// Returns whether a line may be written at `now`. If so, sets `suppressed` to the number of lines suppressed since
    /// the last written line; otherwise leaves it unchanged.
    bool try_acquire(Timestamp now, std::uint64_t& suppressed) {
        if (now < next_allowed_) {
            ++suppressed_;
            return false;
        }
        next_allowed_ = now + interval;
        suppressed = std::exchange(suppressed_, 0);
        return true;
    }

private:
    static constexpr Duration interval{1'000'000};

    Timestamp next_allowed_{0};
    std::uint64_t suppressed_ = 0;
};

}  // namespace cressledge::base
