// The state shared by the components of one admission controller. State used by a single component is private
// to that component.
//
// Invariants: one controller owns the state and its components refer to it; it is not shared between servers.
#pragma once

#include "policy/action_sink.hpp"
#include "policy/concurrency_limiter.hpp"
#include "policy/dependency_limiter.hpp"
#include "policy/drain_state.hpp"
#include "policy/event_clock.hpp"
#include "policy/failure_detector.hpp"
#include "policy/intake_monitor.hpp"
#include "policy/period_statistics.hpp"
#include "policy/priority_bands.hpp"
#include "policy/quantum_budget.hpp"
#include "policy/request_table.hpp"
#include "policy/request_timers.hpp"
#include "policy/server_estimates.hpp"
#include "policy/tenant_quotas.hpp"

namespace cressledge::policy::aces {

/// Settings, requests, estimates and limits of one server.
struct ControllerState {
    explicit ControllerState(const Settings& initial_settings);
    ControllerState(const ControllerState&) = delete;
    ControllerState& operator=(const ControllerState&) = delete;

    /// Whether the server is failing, hung or draining.
    bool is_unavailable() const { return failures.unhealthy() || drain.is_draining(); }
    /// Quanta (core seconds) that the server can complete in a period.
    double period_capacity_quanta() const;
    /// Maximum number of requests in flight (started and not finished).
    double max_in_flight() const;
    /// Number of cores used by the runs.
    double cores_in_use() const { return estimates.runnable_fraction.fraction() * requests.running(); }

    const Settings settings;
    const PriorityBands bands;
    /// Length of a budget period.
    const Duration period;
    /// Tightest latency objective of the classes in seconds, clamped.
    const double min_objective_seconds;
    EventClock clock;
    DrainState drain;
    RequestTable requests;
    RequestTimers timers;
    ServerEstimates estimates;
    FailureDetector failures;
    IntakeMonitor intake;
    PeriodStatistics statistics;
    QuantumBudget budget;
    TenantQuotas quotas;
    ConcurrencyLimiter concurrency;
    DependencyLimiter dependency;
    ActionSink actions;
};

}  // namespace cressledge::policy::aces
