#include "policy/intake_monitor.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"
#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double gain = 0.2;  // per arrival
constexpr double min_intake_wait_fraction = 0.12;  // of the tightest objective
constexpr double max_intake_wait_fraction = 0.35;  // of the tightest objective

}  // namespace

void IntakeMonitor::record(Duration unread_wait) {
    const double wait = std::max(0.0, to_seconds(unread_wait)) / min_objective_seconds_;
    update_average(mean_wait_, wait, gain);
}

double IntakeMonitor::overload() const {
    return std::clamp(
        (mean_wait_ - min_intake_wait_fraction) / (max_intake_wait_fraction - min_intake_wait_fraction), 0.0,
        1.0);
}

}  // namespace cressledge::policy::aces
