/// Limits how often one kind of log line is written, so that a peer cannot fill the log by causing a line with
/// everything it sends.
#pragma once

#include <cstdint>
#include <utility>

#include "base/clock.hpp"

namespace cressledge::base {

/// Allows one line a second and counts those suppressed in between.
class LogRateLimiter {
public:
    /// Whether a line may be written at `now`. If so, `suppressed` is set to the number of lines suppressed since the
    /// last one that was written; else it keeps its value.
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
