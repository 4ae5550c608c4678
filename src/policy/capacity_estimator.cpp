#include "policy/capacity_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "policy/moving_average.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double gain = 0.15;  // per period
constexpr double min_busy_fraction = 0.5;  // busy time over the length of a period
constexpr double min_capacity_per_core = 0.3;  // quanta per second

}  // namespace

CapacityEstimator::CapacityEstimator(int core_count) : cores_(core_count), quanta_per_second_(core_count) {}

void CapacityEstimator::restore(double saved_quanta_per_second, double confidence) {
    const double ratio = saved_quanta_per_second / quanta_per_second_;
    quanta_per_second_ = bounded(quanta_per_second_ * std::pow(ratio, confidence));
    is_restored_ = true;
}

void CapacityEstimator::close_period(double period_seconds) {
    const bool is_measured = busy_seconds_ > min_busy_fraction * period_seconds;
    if (is_measured)
        update_average(quanta_per_second_, bounded(completed_quanta_ / busy_seconds_), gain);
    else if (is_restored_)  // a capacity too low to ever queue work would never be measured
        update_average(quanta_per_second_, cores_, gain);
    is_restored_ = is_restored_ && !is_measured;
    busy_seconds_ = completed_quanta_ = 0.0;
}

double CapacityEstimator::bounded(double quanta_per_second) const {
    return std::clamp(quanta_per_second, min_capacity_per_core * cores_, 1.0 * cores_);
}

}  // namespace cressledge::policy::aces
