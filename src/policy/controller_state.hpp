// The state shared by the components of one admission controller. State used by a single component is private
// to that component.
//
// Invariants: one controller owns the state and its components refer to it. Only the resources are shared,
// with the other controllers of the same server.
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
    ControllerState(const Settings& initial_settings, std::shared_ptr<ServerResources> server_resources);
    ControllerState(const ControllerState&) = delete;
    ControllerState& operator=(const ControllerState&) = delete;

    /// Whether the server is failing, hung or draining.
    bool is_unavailable() const { return failures.unhealthy() || drain.is_draining(); }
    /// Quanta (core seconds) that the server can complete in a period.
    double period_capacity_quanta() const;
    /// Maximum number of requests in flight (started and not finished) on the server.
    double max_in_flight() const;
    /// The sums over the requests of all controllers of the server.
    const RequestUsage& server_usage() const { return resources->usage; }
    /// Number of cores used by the runs of the server.
    double cores_in_use() const { return estimates.runnable_fraction.fraction() * server_usage().running; }

    const Settings settings;
    const std::shared_ptr<ServerResources> resources;
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
    DependencyLimiter& dependency;
    ActionSink actions;
};

}  // namespace cressledge::policy::aces
