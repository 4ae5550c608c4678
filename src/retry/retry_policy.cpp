#include "retry/retry_policy.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::retry {

Timestamp next_retry_time(Timestamp now, std::uint32_t attempts_made, Duration retry_after,
                          const RetrySettings& settings, Random& random) {
    Duration max_wait = settings.base_backoff;
    for (std::uint32_t i = 1; i < attempts_made && max_wait < settings.max_backoff; ++i)
        max_wait *= 2;
    max_wait = std::min(max_wait, settings.max_backoff);
    const auto wait = Duration(random(static_cast<std::uint32_t>(max_wait.count()) + 1U));
    return now + std::max(wait, retry_after);
}

Timestamp attempt_deadline(Timestamp now, Timestamp request_deadline, std::uint32_t attempt_number,
                           const RetrySettings& settings) {
    if (attempt_number >= settings.max_attempts || request_deadline <= now)
        return request_deadline;
    const auto remaining_us = static_cast<double>((request_deadline - now).count());
    return now + Duration(std::llround(settings.attempt_time_fraction * remaining_us));
}

}  // namespace cressledge::retry
