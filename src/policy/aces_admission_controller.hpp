// The admission controller of one server, after ACES (Chen, Chen and Mohapatra): each period grants a
// learned budget of quanta, reserves what higher bands will need, and rejects what the rest of it cannot
// pay for. README.md has the reason for each tuned value and safeguard.
//
// Invariants: the controller owns all requests and their states; it only takes in time and events in their
// order, hands each to the part whose concern it is, and lets all parts act on what has changed. No part
// knows another server, reads a clock or does I/O.
#pragma once

#include "policy/arrival_admission.hpp"
#include "policy/dependency_call_scheduler.hpp"
#include "policy/gauge_monitor.hpp"
#include "policy/period_rollover.hpp"
#include "policy/run_dispatcher.hpp"

namespace cressledge::policy::aces {

/// Wires the parts of the decision module together.
class AcesAdmissionController final : public AdmissionController {
public:
    explicit AcesAdmissionController(const Settings& settings);

    Estimates estimates() const override;
    void restore(const Estimates& saved) override;
    void handle(Timestamp now, const Event& event, std::vector<Action>& actions) override;

private:
    /// Moves time on to the event in hand.
    void advance(Timestamp event_time);
    /// Counts the core time that was given in so many seconds.
    void record_elapsed(double elapsed_seconds);

    void on_event(const Started& event);
    void on_event(const RequestArrived& event);
    void on_event(const RunFinished& event);
    void on_event(const DependencyCallRequested& event);
    void on_event(const DependencyCallFinished& event);
    void on_event(const Cancelled& event);
    void on_event(const DrainStarted& event);
    void on_event(const TimerFired& event);
    /// Moves the timers of all requests to before the drain's deadline.
    void bound_timers_by_drain();
    /// Acts on the timers of requests that have come.
    void handle_due_timers();

    ControllerState state_;
    RetryAdvisor retry_advisor_;
    RunDeadlines deadlines_;
    RequestFinalizer finalizer_;
    MemoryEvictor evictor_;
    RepeatResolver repeats_;
    ArrivalAdmission arrivals_;
    RunDispatcher runs_;
    DependencyCallScheduler calls_;
    PeriodRollover periods_;
    LoadReporter load_reporter_;
    GaugeMonitor gauges_;
};

}  // namespace cressledge::policy::aces
