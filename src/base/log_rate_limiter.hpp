// Guards the log against a peer that gives cause for a line with everything it sends.
#pragma once

#include <cstdint>
#include <utility>

#include "base/timer_queue.hpp"

namespace cressledge::base {

class LogRateLimiter {
public:
    // Whether a line may be written: one a second. `passed` is how many causes had none since the last.
    bool try_acquire(Timestamp now, std::uint64_t& suppressed) {
        if (now < next_allowed_) {
            ++suppressed_;
            return false;
        }
        next_allowed_ = now + Duration(1'000'000);
        suppressed = std::exchange(suppressed_, 0);
        return true;
    }

private:
    Timestamp next_allowed_{0};
    std::uint64_t suppressed_ = 0;
};

}  // namespace cressledge::base
