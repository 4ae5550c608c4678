#include "policy/gauge_monitor.hpp"

#include <optional>
#include <utility>

namespace cressledge::policy::aces {
namespace {

constexpr Duration gauge_interval{125'000};
constexpr double full_utilization = 0.97;  // of all cores
constexpr double free_utilization = 0.75;  // of all cores

}  // namespace

GaugeMonitor::GaugeMonitor(ControllerState& state, LoadReporter& load_reporter)
    : state_(state),
      load_reporter_(load_reporter),
      idle_timeout_advisor_(state.settings, state.min_objective_seconds) {}

void GaugeMonitor::schedule() {
    next_at_ = state_.clock.now() + gauge_interval;
    state_.actions.emit(ScheduleTimer{gauge_interval, timer_token});
}

void GaugeMonitor::on_gauges(const Gauges& gauges) {
    schedule();
    ServerEstimates& estimates = state_.estimates;
    estimates.update(gauges);
    const double running = state_.server_usage().running;
    if (gauges.runnable && running >= 1.0)
        estimates.runnable_fraction.update(*gauges.runnable, running);
    if (gauges.runnable && gauges.connections)
        update_idle_timeout(*gauges.runnable, *gauges.connections);
    update_concurrency_limit();
    update_health();
    load_reporter_.report_intake_overload();
}

void GaugeMonitor::update_idle_timeout(double runnable, double connections) {
    const ConnectionReading reading{
        .runnable = runnable,
        .own_runnable = state_.cores_in_use(),
        .connections = connections,
        .open_requests = state_.server_usage().requests,
        .mean_price_quanta = state_.estimates.mean_price_quanta,
        .capacity_quanta_per_second = state_.estimates.capacity.quanta_per_second()};
    if (const std::optional<Duration> timeout = idle_timeout_advisor_.update(reading))
        state_.actions.emit(SetIdleTimeout{*timeout});
}

void GaugeMonitor::update_concurrency_limit() {
    const ServerEstimates& estimates = state_.estimates;
    const double max_utilization = state_.statistics.pressure() > 1.0 ? full_utilization : free_utilization;
    const bool has_idle_cores = estimates.cpu_utilization < max_utilization;
    const bool can_grow = !state_.requests.run_queue().empty() && has_idle_cores;
    state_.concurrency.update(can_grow, estimates.relative_speed, state_.max_in_flight());
}

void GaugeMonitor::update_health() {
    FailureDetector& failures = state_.failures;
    const Timestamp now = state_.clock.now();
    failures.update(now, state_.requests.running(), state_.estimates.longest_run_seconds);
    const bool was_unhealthy = std::exchange(is_unhealthy_, failures.unhealthy());
    if (is_unhealthy_ == was_unhealthy)
        return;
    const char* const fault =
        failures.hung() ? "server hung failed_run_fraction" : "server failing failed_run_fraction";
    state_.actions.log(now, is_unhealthy_ ? fault : "server healthy failed_run_fraction",
                       failures.failure_fraction());
    state_.actions.emit(SetHealth{!is_unhealthy_ && !state_.drain.is_draining(), true});
    load_reporter_.report();
}

}  // namespace cressledge::policy::aces
