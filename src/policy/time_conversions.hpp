// Conversions between durations and floating-point seconds.
#pragma once

#include <cmath>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

inline constexpr double seconds_per_microsecond = 1e-6;
inline constexpr double microseconds_per_second = 1e6;

/// Converts `duration` to seconds.
inline double to_seconds(Duration duration) {
    return static_cast<double>(duration.count()) * seconds_per_microsecond;
}

/// Converts `seconds` to the nearest duration; the value must be in the range of a Duration.
inline Duration from_seconds(double seconds) {
    return Duration(std::llround(seconds * microseconds_per_second));
}

}  // namespace cressledge::policy::aces
