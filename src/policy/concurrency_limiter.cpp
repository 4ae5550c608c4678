#include "policy/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::policy::aces {
namespace {

constexpr double max_restored_ratio = 2.0;  // limit over the number of cores
constexpr double growth_fraction = 0.2;  // of the limit, per update
constexpr double min_growth_runs = 1.0;  // per update
constexpr double speed_gain = 0.25;
constexpr double decay_runs = 0.05;  // per update

}  // namespace

void ConcurrencyLimiter::restore(double saved_limit, double confidence) {
    const double ratio = std::pow(std::max(saved_limit, min_limit_) / min_limit_, confidence);
    limit_ = std::clamp(min_limit_ * ratio, min_limit_, max_restored_ratio * min_limit_);
    is_restored_ = true;
}

void ConcurrencyLimiter::update(bool can_grow, double relative_speed, double max_limit) {
    is_restored_ = is_restored_ && !can_grow;
    if (is_restored_)  // shrinks as fast as it grows while no request waits
        limit_ = std::max(min_limit_, limit_ - growth_fraction * limit_);
    if (can_grow)
        limit_ += std::max(min_growth_runs, growth_fraction * limit_);
    else
        limit_ += speed_gain * limit_ * (relative_speed - 1.0) - decay_runs;
    limit_ = std::clamp(limit_, std::min(min_limit_, max_limit), max_limit);
}

}  // namespace cressledge::policy::aces
