// Durations in milliseconds for tests.
#pragma once

#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::testing {

constexpr base::Duration ms(std::int64_t count) {
    return base::Duration(count * 1000);
}

}  // namespace cressledge::testing
