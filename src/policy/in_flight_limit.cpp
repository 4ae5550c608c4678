#include "policy/in_flight_limit.hpp"

#include <algorithm>

#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double max_in_flight_fraction = 0.8;  // of the runs that the cores survive

/// Fraction of full speed (0 to 1).
double warm_up_speed(const Settings& settings, bool is_cold_start, Duration age) {
    if (!is_cold_start || settings.warm_up_duration <= Duration(0))
        return 1.0;
    const double cold_speed = settings.cold_start_speed;
    const double gained_speed = (1.0 - cold_speed) * to_seconds(age) / to_seconds(settings.warm_up_duration);
    return std::clamp(cold_speed + gained_speed, cold_speed, 1.0);
}

}  // namespace

double max_in_flight(const Settings& settings, bool is_cold_start, Duration age) {
    const double speed = warm_up_speed(settings, is_cold_start, age);
    const double survived_per_core = 1.0 + (settings.max_runnable_per_core - 1.0) * speed;
    return max_in_flight_fraction * survived_per_core * settings.cores;
}

}  // namespace cressledge::policy::aces
