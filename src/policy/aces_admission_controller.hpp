// The admission controller of one server, based on ACES (Chen, Chen and Mohapatra): each period grants a
// learned budget of quanta, reserves the predicted demand of higher bands, and rejects requests whose price
// exceeds the remaining budget. README.md explains each tuned value and safeguard.
//
// Invariants: the controller owns all requests and their states. It advances the time, passes each event to
// the component that handles it, and then lets the components act on the new state. No component refers to
// another server, reads a clock or does I/O.
#pragma once

#include "policy/arrival_admission.hpp"
#include "policy/dependency_call_scheduler.hpp"
#include "policy/gauge_monitor.hpp"
#include "policy/period_rollover.hpp"
#include "policy/run_dispatcher.hpp"

namespace cressledge::policy::aces {

/// Connects the components of the decision module.
class AcesAdmissionController final : public AdmissionController {
public:
    AcesAdmissionController(const Settings& settings, std::shared_ptr<ServerResources> resources);

    Estimates estimates() const override;
    void restore(const Estimates& saved) override;
    void handle(Timestamp now, const Event& event, std::vector<Action>& actions) override;

private:
    /// Advances the time to that of the current event.
    void advance(Timestamp event_time);
    /// Records the core time that runs received within `elapsed_seconds`.
    void record_elapsed(double elapsed_seconds);

    void on_event(const Started& event);
    void on_event(const RequestArrived& event);
    void on_event(const RunFinished& event);
    void on_event(const DependencyCallRequested& event);
    void on_event(const DependencyCallFinished& event);
    void on_event(const Cancelled& event);
    void on_event(const DrainStarted& event);
    void on_event(const ResourcesChanged& event);
    void on_event(const TimerFired& event);
    /// Moves the timers of all requests to the drain deadline or earlier.
    void bound_timers_by_drain();
    /// Handles the expired timers of requests.
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
