// Times of retries and deadlines of attempts. The caller decides with `RetryBudget` and `CircuitBreaker` whether to
// retry at all. No I/O; time and randomness are passed as arguments.
#pragma once

#include <cstdint>

#include "retry/circuit_breaker.hpp"
#include "retry/hedge_policy.hpp"
#include "retry/retry_budget.hpp"
#include "retry/retry_settings.hpp"
#include "upstream_health/host.hpp"

namespace cressledge::retry {

using upstream_health::Random;

/// Returns the start time of the next attempt after `attempts_made` attempts: exponential backoff with full jitter
/// ("Exponential Backoff and Jitter", Brooker, 2015), or `retry_after` if that is longer.
Timestamp next_retry_time(Timestamp now, std::uint32_t attempts_made, Duration retry_after,
                          const RetrySettings& settings, Random& random);

/// Returns the deadline of an attempt that starts at `now`; `attempt_number` counts from 1. The last attempt may
/// use all of the remaining time.
Timestamp attempt_deadline(Timestamp now, Timestamp request_deadline, std::uint32_t attempt_number,
                           const RetrySettings& settings);

}  // namespace cressledge::retry
