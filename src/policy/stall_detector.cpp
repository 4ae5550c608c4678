#include "policy/stall_detector.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::policy::aces {
namespace {

constexpr double window_seconds = 1.5;
constexpr double damping_seconds = 0.5;  // per core
constexpr double min_ratio = 1.5;  // smaller ratios are noise
constexpr double max_ratio = 10.0;

}  // namespace

void StallDetector::decay(double seconds) {
    const double factor = std::exp(-seconds / window_seconds);
    delivered_quanta_ *= factor;
    completed_quanta_ *= factor;
}

double StallDetector::slowdown() const {
    const double damping_quanta = damping_seconds * cores_;
    const double ratio = (delivered_quanta_ + damping_quanta) / (completed_quanta_ + damping_quanta);
    return ratio > min_ratio ? std::clamp(ratio, 1.0, max_ratio) : 1.0;
}

}  // namespace cressledge::policy::aces
