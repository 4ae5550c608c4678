// The state that the parts of one admission controller share. Each part holds what only it needs itself.
//
// Invariants: one controller owns it, and its parts refer to it; nothing in it is shared with another
// server.
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

    /// Fails, hangs or drains.
    bool is_unavailable() const { return failures.unhealthy() || drain.is_draining(); }
    /// Quanta (core seconds) that the server completes in a period.
    double period_capacity_quanta() const;
    /// Requests that may be started and not over.
    double max_in_flight() const;
    /// Cores that the runs take.
    double cores_in_use() const { return estimates.cpu_share.share() * requests.running(); }

    const Settings settings;
    const PriorityBands bands;
    /// Length of the periods by which quanta are granted.
    const Duration period;
    /// Tightest latency objective of the classes, within bounds (seconds).
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
