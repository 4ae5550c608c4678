// Settings of retries and hedged requests.
#pragma once

#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::retry {

using base::Duration;
using base::Timestamp;

/// Limits and timing of the attempts of a request.
struct RetrySettings {
    /// Maximum number of attempts of a request, including the first.
    std::uint32_t max_attempts = 3;
    /// Upper bound of the backoff before the first retry; it doubles with each further retry up to `max_backoff`.
    Duration base_backoff{25'000};
    Duration max_backoff{1'000'000};
    /// Fraction of the request's remaining time that an attempt gets if another attempt may follow.
    double attempt_time_fraction = 0.5;
    /// A hedged request is sent when an attempt takes longer than this quantile of the latency of successful attempts.
    double hedge_quantile = 0.95;
    /// Lower bound of the time before a hedged request.
    Duration min_hedge_delay{20'000};
};

}  // namespace cressledge::retry
