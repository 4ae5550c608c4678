// How long idle connections may stay. README.md, "Decisions", has the reason for each tuned value.
//
// Invariants: the timeout lies between the tightest objective (or the callers' own timeout, where that is
// less) and the callers' own; it is advertised only when it has moved by a notable share.
#pragma once

#include <optional>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Connections and cores, read at one moment.
struct ConnectionReading {
    /// Runnable threads of the process.
    double runnable = 0.0;
    /// Cores that the controller's own runs take.
    double own_runnable = 0.0;
    /// Connections open.
    double connections = 0.0;
    /// Requests that the controller knows.
    double open_requests = 0.0;
    /// Mean price of the classes (core seconds a request).
    double mean_price_quanta = 0.0;
    /// Learned capacity (core seconds of work a second).
    double capacity_quanta_per_second = 0.0;
};

/// Shortens the idle timeout while new connections take the cores or idle callers fill the table.
class IdleTimeoutAdvisor {
public:
    /// With `Settings::idle_timeout` 0 there is never anything to advertise.
    IdleTimeoutAdvisor(const Settings& settings, double min_objective_seconds);

    /// The timeout to advertise after `reading`, if it has moved enough.
    std::optional<Duration> update(const ConnectionReading& reading);

private:
    bool is_connection_storm() const;
    bool has_many_idle(const ConnectionReading& reading) const;
    double next_timeout_seconds(const ConnectionReading& reading) const;

    double cores_;
    double max_idle_connections_;  // as many as the cores survive runs
    double caller_count_;
    double longest_seconds_;
    double shortest_seconds_;
    double timeout_seconds_;
    double advertised_seconds_;
    double other_runnable_ = 0.0;  // threads beside the controller's runs, smoothed
    double max_connections_ = 0.0;  // most seen
};

}  // namespace cressledge::policy::aces
