// Conversion between durations and seconds in floating point, in which the module does its arithmetic.
#pragma once

#include <cmath>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

inline constexpr double seconds_per_microsecond = 1e-6;
inline constexpr double microseconds_per_second = 1e6;

/// Seconds of `duration`.
inline double to_seconds(Duration duration) {
    return static_cast<double>(duration.count()) * seconds_per_microsecond;
}

/// The duration nearest to `seconds`; these must lie within the range of a Duration.
inline Duration from_seconds(double seconds) {
    return Duration(std::llround(seconds * microseconds_per_second));
}

}  // namespace cressledge::policy::aces
