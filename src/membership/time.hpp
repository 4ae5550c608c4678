/// Time types of the membership protocol, in Unix microseconds like the rest of the program.
#pragma once

#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::membership {

using base::Duration;
using base::Timestamp;

/// Deadline of an event that is not scheduled.
constexpr Timestamp never = Timestamp::max();

/// Returns `duration` times `factor`, rounded towards zero.
inline Duration scaled(Duration duration, double factor) {
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace cressledge::membership
