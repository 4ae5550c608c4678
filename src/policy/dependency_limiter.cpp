#include "policy/dependency_limiter.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"
#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double refill_fraction = 0.45;  // of the quota
constexpr double calls_per_core = 4.0;  // for a dependency that is not shared
constexpr double max_timeout_seconds = 1e6;
constexpr double min_quota = 1e-3;  // calls in flight
constexpr double min_limit_fraction = 0.25;  // of the maximum limit
constexpr double warm_up_calls = 10.0;
constexpr double base_drift = 1.001;  // per call; lets the base accept a lasting change
constexpr double slow_ratio = 3.0;  // mean call time over the fastest
constexpr double min_half_budget = 1e-3;  // call seconds
constexpr double min_refill_rate = 1e-3;  // call seconds per second

/// How much a single call changes the mean and the limit.
struct Gains {
    double mean;  // per call
    double growth_fraction;  // of the maximum limit
    double slow_factor;  // applied to the limit after a slow call
    double failed_factor;  // applied to the limit after a failed call
};
constexpr Gains full_quota_gains{0.05, 0.0, 0.99, 0.9};
constexpr Gains fractional_quota_gains{0.15, 0.1, 0.95, 0.8};

}  // namespace

DependencyLimiter::DependencyLimiter(const Settings& settings) {
    set_quota(settings);
    budget_ = max_budget_;
    limit_ = max_limit_;
}

void DependencyLimiter::set_quota(const Settings& settings) {
    is_shared_ = settings.dependency == Dependency::shared_service;
    base_refill_ = refill_fraction * settings.dependency_call_quota;
    max_budget_ = base_refill_ * to_seconds(settings.dependency_call_window);
    max_limit_ =
        is_shared_ ? std::max(min_quota, settings.dependency_call_quota) : calls_per_core * settings.cores;
    has_fractional_quota_ = is_shared_ && max_limit_ < 1.0;
    abandoned_call_grace_ = settings.abandoned_call_grace;
}

void DependencyLimiter::reconfigure(const Settings& settings) {
    const double consumed_budget = max_budget_ - budget_;
    const double limit_fraction = limit_ / max_limit_;
    set_quota(settings);
    budget_ = max_budget_ - consumed_budget;
    limit_ = limit_fraction * max_limit_;
}

void DependencyLimiter::advance(Timestamp now) {
    while (!abandoned_until_.empty() && abandoned_until_.front() <= now)
        abandoned_until_.pop_front();
    const double elapsed_seconds = to_seconds(now - advanced_at_);
    budget_ = std::min(max_budget_, budget_ + (refill_rate() - calls_in_flight()) * elapsed_seconds);
    advanced_at_ = now;
}

bool DependencyLimiter::allows_call() const {
    const double half_budget =
        std::max(0.5 * max_budget_ - to_seconds(abandoned_call_grace_), min_half_budget);
    const double wanted_seconds = (has_fractional_quota_ ? 2.0 : 1.0) * mean_call_seconds_;
    const double required = std::min(wanted_seconds, half_budget);
    const bool is_within_limit = calls_in_flight() + 1.0 <= std::max(1.0, limit_);
    return is_within_limit && (!is_shared_ || to_seconds(call_timeout()) > required);
}

Duration DependencyLimiter::call_timeout() const {
    if (!is_shared_)
        return Duration::max();
    const double seconds = std::min(max_timeout_seconds, budget_ / (outstanding_calls_ + 1.0));
    return std::max(Duration(0), from_seconds(seconds) - abandoned_call_grace_);
}

void DependencyLimiter::finish_call(Timestamp now, bool is_abandoned) {
    --outstanding_calls_;
    if (is_abandoned)
        abandoned_until_.push_back(now + abandoned_call_grace_);
}

void DependencyLimiter::learn(bool succeeded, double seconds) {
    const Gains& gains = has_fractional_quota_ ? fractional_quota_gains : full_quota_gains;
    if (!succeeded)
        seconds = std::max(mean_call_seconds_, seconds + to_seconds(abandoned_call_grace_));
    ++call_count_;
    update_average(mean_call_seconds_, seconds, std::max(gains.mean, 1.0 / call_count_));
    const bool is_warm = call_count_ >= warm_up_calls;
    fastest_call_seconds_ =
        is_warm ? std::min(mean_call_seconds_, fastest_call_seconds_ * base_drift) : mean_call_seconds_;
    update_limit(succeeded);
}

void DependencyLimiter::update_limit(bool succeeded) {
    const Gains& gains = has_fractional_quota_ ? fractional_quota_gains : full_quota_gains;
    if (succeeded && mean_call_seconds_ <= slow_ratio * fastest_call_seconds_) {
        const double growth = has_fractional_quota_ ? gains.growth_fraction * max_limit_ : 0.5 / limit_;
        limit_ = std::min(max_limit_, limit_ + growth);
        return;
    }
    // Fewer calls from here do not help a dependency that is slow because of other callers.
    const double min_limit = has_fractional_quota_ ? 0.0 : std::max(1.0, min_limit_fraction * max_limit_);
    limit_ = std::max(min_limit, limit_ * (succeeded ? gains.slow_factor : gains.failed_factor));
}

void DependencyLimiter::restore(double mean_call_seconds) {
    if (call_count_ == 0.0)
        mean_call_seconds_ = mean_call_seconds;
}

double DependencyLimiter::queue_delay(double waiting_calls, double expected_calls) const {
    const double delay_by_limit = waiting_calls * mean_call_seconds_ / std::max(1.0, limit_);
    if (!is_shared_)
        return delay_by_limit;
    const double missing_budget =
        (expected_calls + 1.0) * mean_call_seconds_ + to_seconds(abandoned_call_grace_) - budget_;
    return std::max(delay_by_limit, missing_budget / std::max(min_refill_rate, refill_rate()));
}

double DependencyLimiter::refill_rate() const {
    return base_refill_ * std::max(min_limit_fraction, limit_ / max_limit_);
}

double DependencyLimiter::calls_in_flight() const {
    return outstanding_calls_ + static_cast<double>(abandoned_until_.size());
}

}  // namespace cressledge::policy::aces
