#include "policy/idle_timeout_advisor.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"
#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double connection_storm_factor = 1.5;  // applied to the timeout per gauge
constexpr double many_idle_factor = 0.9;  // applied to the timeout per gauge
constexpr double recovery_factor = 1.01;  // applied to the timeout per gauge
constexpr double min_callers_ratio = 2.0;  // callers over connections
constexpr double other_runnable_gain = 0.25;  // per gauge
constexpr double min_change_ratio = 0.8;  // timeout over the one last advertised
constexpr double max_change_ratio = 1.2;  // timeout over the one last advertised

}  // namespace

IdleTimeoutAdvisor::IdleTimeoutAdvisor(const Settings& settings, double min_objective_seconds)
    : cores_(settings.cores),
      max_idle_connections_(settings.max_runnable_per_core * settings.cores),
      caller_count_(settings.caller_count),
      longest_seconds_(to_seconds(settings.idle_timeout)),
      shortest_seconds_(std::min(min_objective_seconds, longest_seconds_)),
      timeout_seconds_(longest_seconds_),
      advertised_seconds_(longest_seconds_) {}

std::optional<Duration> IdleTimeoutAdvisor::update(const ConnectionReading& reading) {
    if (longest_seconds_ <= 0.0)
        return std::nullopt;
    const double other_runnable = std::max(0.0, reading.runnable - reading.own_runnable);
    update_average(other_runnable_, other_runnable, other_runnable_gain);
    max_connections_ = std::max(max_connections_, reading.connections);
    timeout_seconds_ = next_timeout_seconds(reading);
    const bool is_near_advertised = timeout_seconds_ >= min_change_ratio * advertised_seconds_ &&
                                    timeout_seconds_ <= max_change_ratio * advertised_seconds_;
    if (is_near_advertised)
        return std::nullopt;
    advertised_seconds_ = timeout_seconds_;
    return from_seconds(advertised_seconds_);
}

bool IdleTimeoutAdvisor::is_connection_storm() const {
    return other_runnable_ > cores_;
}

bool IdleTimeoutAdvisor::has_many_idle(const ConnectionReading& reading) const {
    const double idle_connections = reading.connections - reading.open_requests;
    return idle_connections > max_idle_connections_ &&
           caller_count_ > min_callers_ratio * reading.connections;
}

double IdleTimeoutAdvisor::next_timeout_seconds(const ConnectionReading& reading) const {
    // Time in which the requests completed here replace a full table of idle connections.
    const double turnover_seconds =
        max_connections_ * reading.mean_price_quanta / reading.capacity_quanta_per_second;
    const double bounded_turnover = std::clamp(turnover_seconds, shortest_seconds_, longest_seconds_);
    if (is_connection_storm())
        return std::clamp(timeout_seconds_ * connection_storm_factor, shortest_seconds_, bounded_turnover);
    if (has_many_idle(reading))
        return std::clamp(timeout_seconds_ * many_idle_factor, shortest_seconds_, bounded_turnover);
    return std::clamp(timeout_seconds_ * recovery_factor, shortest_seconds_, longest_seconds_);
}

}  // namespace cressledge::policy::aces
