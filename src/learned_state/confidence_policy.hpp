// The confidence in a saved estimate, by its age and its number of observations.
#pragma once

#include <cstdint>

#include "base/clock.hpp"

namespace cressledge::learned_state {

using base::Duration;
using base::Timestamp;

/// The tolerated clock difference between two processes (5 minutes). An estimate that is at most this far in the
/// future has age 0.
constexpr Duration max_clock_skew{300'000'000};

/// Exponential decay of the confidence in a saved estimate with its age, and its growth with the number of
/// observations.
struct ConfidencePolicy {
    /// The time in which the confidence halves (one day).
    Duration half_life{std::int64_t{24} * 3'600'000'000};
    /// Older estimates are not used (14 days).
    Duration max_age{std::int64_t{14} * 24 * 3'600'000'000};

    /// Returns 2^(-age / half_life) * n / (n + 10), where n is `evidence`, the number of observations behind the
    /// estimate. Returns 0 for an age above `max_age` or more than `max_clock_skew` in the future.
    double confidence(Duration age, double evidence) const;
};

}  // namespace cressledge::learned_state
