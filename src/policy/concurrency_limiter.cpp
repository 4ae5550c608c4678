#include "policy/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::policy::aces {
namespace {

constexpr double max_restored_ratio = 2.0;  // of the cores
constexpr double growth = 0.2;  // share of the limit an update
constexpr double min_growth = 1.0;  // runs an update
constexpr double speed_gain = 0.25;
constexpr double decay = 0.05;  // runs an update

}  // namespace

void ConcurrencyLimiter::restore(double saved_limit, double confidence) {
    const double ratio = std::pow(std::max(saved_limit, min_limit_) / min_limit_, confidence);
    limit_ = std::clamp(min_limit_ * ratio, min_limit_, max_restored_ratio * min_limit_);
    is_restored_ = true;
}

void ConcurrencyLimiter::update(bool can_grow, double relative_speed, double max_limit) {
    is_restored_ = is_restored_ && !can_grow;
    if (is_restored_)  // what nobody waits for is given back as fast as it is learned
        limit_ = std::max(min_limit_, limit_ - growth * limit_);
    if (can_grow)
        limit_ += std::max(min_growth, growth * limit_);
    else
        limit_ += speed_gain * limit_ * (relative_speed - 1.0) - decay;
    limit_ = std::clamp(limit_, std::min(min_limit_, max_limit), max_limit);
}

}  // namespace cressledge::policy::aces
