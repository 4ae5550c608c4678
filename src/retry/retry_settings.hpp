// Settings of retries and hedged requests.
#pragma once

#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::retry {

using base::Duration;
using base::Timestamp;

/// How often, and when, a request is attempted again.
struct RetrySettings {
    /// Attempts for one request, the first one counted.
    std::uint32_t max_attempts = 3;
    /// Upper bound of the backoff before the first retry; doubled for each further one up to the second figure.
    Duration base_backoff{25'000};
    Duration max_backoff{1'000'000};
    /// Fraction of the request's remaining time that an attempt gets where another one may follow.
    double attempt_time_fraction = 0.5;
    /// A hedged request is sent once an attempt takes longer than this quantile of the successful ones.
    double hedge_quantile = 0.95;
    Duration min_hedge_delay{20'000};
};

}  // namespace cressledge::retry
