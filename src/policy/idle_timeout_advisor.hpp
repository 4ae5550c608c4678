// Computes how long idle connections stay open. README.md, "Decisions", explains each tuned value.
//
// Invariants: the timeout lies between the tightest objective (or the timeout of the callers, if that is
// less) and the timeout of the callers; it is advertised only after it has changed by a minimum ratio.
#pragma once

#include <optional>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Connections and use of the cores at one point in time.
struct ConnectionReading {
    /// Number of runnable threads of the process.
    double runnable = 0.0;
    /// Number of cores used by the runs that the controller started.
    double own_runnable = 0.0;
    /// Number of open connections.
    double connections = 0.0;
    /// Number of requests that are not finished.
    double open_requests = 0.0;
    /// Mean price of the classes (core seconds per request).
    double mean_price_quanta = 0.0;
    /// Learned capacity (core seconds of work per second).
    double capacity_quanta_per_second = 0.0;
};

/// Adjusts the idle timeout: shorter while idle callers fill the connection table, longer while new
/// connections take the cores.
class IdleTimeoutAdvisor {
public:
    /// If `Settings::idle_timeout` is 0, no timeout is ever advertised. `min_objective_seconds` is the
    /// tightest latency objective.
    IdleTimeoutAdvisor(const Settings& settings, double min_objective_seconds);

    /// Returns the timeout to advertise after `reading`, or nothing if it has changed too little.
    std::optional<Duration> update(const ConnectionReading& reading);

private:
    bool is_connection_storm() const;
    bool has_many_idle(const ConnectionReading& reading) const;
    double next_timeout_seconds(const ConnectionReading& reading) const;

    double cores_;
    double max_idle_connections_;  // as many as the runs that the cores survive
    double caller_count_;
    double longest_seconds_;
    double shortest_seconds_;
    double timeout_seconds_;
    double advertised_seconds_;
    double other_runnable_ = 0.0;  // runnable threads that execute no run, smoothed
    double max_connections_ = 0.0;  // the most open connections so far
};

}  // namespace cressledge::policy::aces
