#include "policy/runnable_fraction_estimator.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double min_gain = 0.02;  // per gauge
constexpr double min_fraction = 0.25;

}  // namespace

void RunnableFractionEstimator::update(double runnable, double running) {
    ++samples_;
    const double gain = std::max(min_gain, 1.0 / samples_);
    update_average(mean_runnable_, std::min(runnable, running), gain);
    update_average(mean_running_, running, gain);
    fraction_ = std::clamp(mean_runnable_ / mean_running_, min_fraction, 1.0);
}

}  // namespace cressledge::policy::aces
