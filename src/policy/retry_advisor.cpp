#include "policy/retry_advisor.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"
#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double retry_fraction_gain = 0.03;  // per arrival
constexpr double slowed_speed = 0.6;  // base price over the current one
constexpr double exhaustive_attempts = 3.0;  // retries over few replicas end by themselves
constexpr double retry_after_slope = 3.0;  // longest wait at a third of the top band rejected

}  // namespace

RetryAdvisor::RetryAdvisor(int replica_count, Duration max_retry_after)
    : replica_count_(replica_count), max_retry_after_(max_retry_after) {}

void RetryAdvisor::record_arrival(bool is_retry) {
    update_average(retry_fraction_, is_retry ? 1.0 : 0.0, retry_fraction_gain);
}

Duration RetryAdvisor::retry_after(const RetryReading& reading) const {
    const double rejected = std::clamp(retry_after_slope * reading.top_band_rejected_fraction, 0.0, 1.0);
    const double fraction = reading.is_unavailable ? 1.0 : std::max(reading.intake_overload, rejected);
    return from_seconds(to_seconds(max_retry_after_) * fraction);
}

bool RetryAdvisor::discourages_retry(const RetryReading& reading) const {
    const bool is_own_fault =
        reading.is_unavailable || reading.is_degraded || reading.relative_speed < slowed_speed;
    return !is_own_fault && retry_fraction_ > exhaustive_attempts / replica_count_;
}

}  // namespace cressledge::policy::aces
