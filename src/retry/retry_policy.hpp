// When a failed request is attempted again, and how long an attempt may take. Whether it may be attempted again at all
// is the caller's to say, with `RetryBudget` and `CircuitBreaker`. No I/O; time and randomness are arguments.
#pragma once

#include <cstdint>

#include "retry/circuit_breaker.hpp"
#include "retry/hedge_policy.hpp"
#include "retry/retry_budget.hpp"
#include "retry/retry_settings.hpp"
#include "upstream_health/host.hpp"

namespace cressledge::retry {

using upstream_health::Random;

/// Start of the attempt that follows `attempts` ones: exponential backoff with full jitter ("Exponential Backoff and
/// Jitter", Brooker, 2015), or `retry_after` where that is longer.
Timestamp next_retry_time(Timestamp now, std::uint32_t attempts, Duration retry_after,
                          const RetrySettings& settings, Random& random);

/// Deadline of an attempt, the `attempts`-th of its request. The last one may use all the time that is left.
Timestamp attempt_deadline(Timestamp now, Timestamp request_deadline, std::uint32_t attempts,
                           const RetrySettings& settings);

}  // namespace cressledge::retry
