#include "policy/cpu_share_estimator.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double min_gain = 0.02;  // share a gauge
constexpr double min_share = 0.25;

}  // namespace

void CpuShareEstimator::update(double runnable, double running) {
    ++samples_;
    const double gain = std::max(min_gain, 1.0 / samples_);
    update_average(mean_runnable_, std::min(runnable, running), gain);
    update_average(mean_running_, running, gain);
    share_ = std::clamp(mean_runnable_ / mean_running_, min_share, 1.0);
}

}  // namespace cressledge::policy::aces
