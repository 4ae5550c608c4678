// Seconds as the estimators of this module count them.
#pragma once

#include "base/timer_queue.hpp"

namespace cressledge::load_balancing {

/// A duration, counted in microseconds, in seconds.
inline double to_seconds(base::Duration duration) {
    constexpr double seconds_per_microsecond = 1e-6;
    return static_cast<double>(duration.count()) * seconds_per_microsecond;
}

}  // namespace cressledge::load_balancing
