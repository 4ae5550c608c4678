#include "policy/controller_state.hpp"

#include <algorithm>
#include <utility>

#include "policy/in_flight_limit.hpp"
#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double period_ratio = 0.33;  // period over the tightest objective
constexpr Duration max_objective{10'000'000};
constexpr Duration min_period{50'000};
constexpr Duration max_period{2'000'000};

Duration period_length(const Settings& settings) {
    Duration tightest = max_objective;
    for (const RequestClass& request_class : settings.classes)
        tightest = std::min(tightest, request_class.latency_objective);
    return std::clamp(from_seconds(period_ratio * to_seconds(tightest)), min_period, max_period);
}

}  // namespace

ControllerState::ControllerState(const Settings& initial_settings,
                                 std::shared_ptr<ServerResources> server_resources)
    : settings(initial_settings),
      resources(std::move(server_resources)),
      bands(settings),
      period(period_length(settings)),
      min_objective_seconds(to_seconds(period) / period_ratio),
      drain(settings.drain_grace),
      requests(settings, bands.size(), *resources),
      timers(clock, drain),
      estimates(settings),
      intake(min_objective_seconds),
      budget(bands.size()),
      quotas(settings.tenants, settings.replica_count),
      concurrency(settings.cores),
      dependency(resources->dependency) {
    resources->reconfigure(settings);
    budget.open_period(settings.cores * to_seconds(period), requests.run_queue());
}

double ControllerState::period_capacity_quanta() const {
    return estimates.capacity.quanta_per_second() * to_seconds(period);
}

double ControllerState::max_in_flight() const {
    return aces::max_in_flight(settings, resources->is_cold_start(), resources->age(clock.now()));
}

}  // namespace cressledge::policy::aces
