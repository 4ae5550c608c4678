// How far a saved estimate is trusted.
#pragma once

#include <cstdint>

#include "base/clock.hpp"

namespace cressledge::learned_state {

using base::Duration;
using base::Timestamp;

/// The clocks of two processes may differ by this much: what is not further in the future counts as new.
constexpr Duration max_clock_skew{300'000'000};

/// How the confidence in a saved estimate falls with its age and grows with its evidence.
struct ConfidencePolicy {
    /// The confidence halves each time this has passed.
    Duration half_life{std::int64_t{24} * 3'600'000'000};
    /// What is older is not used.
    Duration max_age{std::int64_t{14} * 24 * 3'600'000'000};

    /// 2^(-age / half_life) * n / (n + 10) for n observations behind the estimate; 0 beyond `max_age` and for
    /// what comes from the future.
    double confidence(Duration age, double evidence) const;
};

}  // namespace cressledge::learned_state
