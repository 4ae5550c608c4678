#include "policy/server_estimates.hpp"

#include <algorithm>

#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double initial_price_ratio = 0.17;  // initial price over the latency objective

}  // namespace

ServerEstimates::ServerEstimates(const Settings& settings) : stall(settings.cores), capacity(settings.cores) {
    for (const RequestClass& request_class : settings.classes)
        prices.emplace_back(initial_price_ratio * to_seconds(request_class.latency_objective));
}

void ServerEstimates::update(const Gauges& gauges) {
    cpu_utilization = gauges.cpu_utilization.value_or(cpu_utilization);
    const double class_count = static_cast<double>(prices.size());
    double speeds = 0.0;
    mean_price_quanta = 0.0;
    longest_run_seconds = 0.0;
    for (const ClassPrice& price : prices) {
        speeds += price.relative_speed();
        mean_price_quanta += price.quanta() / class_count;
        longest_run_seconds = std::max(longest_run_seconds, price.run_seconds());
    }
    relative_speed = speeds / class_count;
}

}  // namespace cressledge::policy::aces
