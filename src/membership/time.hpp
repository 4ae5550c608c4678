/// Time in the membership protocol: Unix microseconds, as everywhere in the program.
#pragma once

#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::membership {

using base::Duration;
using base::Timestamp;

/// A deadline that does not come.
constexpr Timestamp never = Timestamp::max();

/// The duration times the factor, rounded towards zero.
inline Duration scaled(Duration duration, double factor) {
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace cressledge::membership
