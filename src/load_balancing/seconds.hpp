// Conversion of durations to floating-point seconds.
#pragma once

#include "base/timer_queue.hpp"

namespace cressledge::load_balancing {

/// Converts a duration in microseconds to seconds.
inline double to_seconds(base::Duration duration) {
    constexpr double seconds_per_microsecond = 1e-6;
    return static_cast<double>(duration.count()) * seconds_per_microsecond;
}

}  // namespace cressledge::load_balancing
