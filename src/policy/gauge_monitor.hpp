// Updates estimates, concurrency limit, idle timeout and health from the gauges of the host. README.md,
// "Decisions", explains each tuned value.
//
// Invariants: exactly one gauge timer is outstanding after the start; health is emitted only when it changes.
#pragma once

#include <cstdint>

#include "policy/idle_timeout_advisor.hpp"
#include "policy/load_reporter.hpp"

namespace cressledge::policy::aces {

/// Requests gauges at a fixed interval and applies them.
class GaugeMonitor {
public:
    /// Token of the gauge timer in `ScheduleTimer` and `TimerFired`.
    static constexpr std::uint32_t timer_token = 1;

    /// Both arguments must outlive the object.
    GaugeMonitor(ControllerState& state, LoadReporter& load_reporter);

    /// Schedules the next gauge timer.
    void schedule();
    /// Applies the gauges of an expired gauge timer, and schedules the next.
    void on_gauges(const Gauges& gauges);
    /// Time of the next gauge timer.
    Timestamp next_at() const { return next_at_; }

private:
    void update_idle_timeout(double runnable, double connections);
    void update_concurrency_limit();
    void update_health();

    ControllerState& state_;
    LoadReporter& load_reporter_;
    IdleTimeoutAdvisor idle_timeout_advisor_;
    Timestamp next_at_{0};
    bool is_unhealthy_ = false;
};

}  // namespace cressledge::policy::aces
