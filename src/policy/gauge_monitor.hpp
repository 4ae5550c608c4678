// What the gauges of the host change: estimates, the concurrency limit, idle timeout and health. README.md,
// "Decisions", has the reason for each tuned value.
//
// Invariants: one gauge timer is outstanding at any time after the start; health is emitted when it
// changes.
#pragma once

#include <cstdint>

#include "policy/idle_timeout_advisor.hpp"
#include "policy/load_reporter.hpp"

namespace cressledge::policy::aces {

/// Asks for gauges at a fixed interval and takes them in.
class GaugeMonitor {
public:
    /// Token of the gauge timer in `ScheduleTimer` and `TimerFired`.
    static constexpr std::uint32_t timer_token = 1;

    /// Both must outlive the object.
    GaugeMonitor(ControllerState& state, LoadReporter& load_reporter);

    /// Asks for the next gauges.
    void schedule();
    void on_gauges(const Gauges& gauges);
    /// When the next gauges are due.
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
