#include "retry/retry_policy.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::retry {
namespace {

constexpr std::uint64_t min_hedge_samples = 50;

}  // namespace

Timestamp next_retry_time(Timestamp now, std::uint32_t attempts, Duration retry_after,
                          const RetrySettings& settings, Random& random) {
    Duration most = settings.base_backoff;
    for (std::uint32_t i = 1; i < attempts && most < settings.max_backoff; ++i)
        most *= 2;
    most = std::min(most, settings.max_backoff);
    const auto wait = Duration(random(static_cast<std::uint32_t>(most.count()) + 1U));
    return now + std::max(wait, retry_after);
}

Timestamp attempt_deadline(Timestamp now, Timestamp request_deadline, std::uint32_t attempts,
                           const RetrySettings& settings) {
    if (attempts >= settings.max_attempts || request_deadline <= now)
        return request_deadline;
    return now + Duration(std::llround(settings.attempt_time_fraction *
                                       static_cast<double>((request_deadline - now).count())));
}

Duration HedgePolicy::delay() const {
    if (sample_count_ < min_hedge_samples)
        return Duration::max();
    return std::max(settings_.min_hedge_delay,
                    Duration(std::llround(boost::accumulators::p_square_quantile(quantile_))));
}

}  // namespace cressledge::retry
