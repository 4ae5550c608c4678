// What one server has, shared by the controllers of all its settings generations: use of cores and memory,
// the limits on dependency calls, and the times of its start and of its notice to drain.
//
// Invariants: every use is the sum over the requests of all controllers, and a limit is compared with that
// sum; a new generation changes the limits, never what is in use; the warm-up is counted from the start of
// the server and the grace of a drain from the first notice, not from those of a generation.
#pragma once

#include <optional>

#include "policy/dependency_limiter.hpp"
#include "policy/time_table.hpp"

namespace cressledge::policy {

/// Sums over requests.
struct RequestUsage {
    /// Adds the other sums (`sign` 1) or subtracts them (`sign` -1).
    void add(const RequestUsage& other, double sign);

    /// Requests that are not finished.
    double requests = 0.0;
    /// Requests in a run queue.
    double queued = 0.0;
    /// Requests that are started and not finished.
    double in_flight = 0.0;
    /// Requests on the cores or waiting for a disk.
    double running = 0.0;
    /// Memory of the requests, without their keys.
    double memory_kb = 0.0;
};

/// The resources of one server. Not thread-safe.
class ServerResources {
public:
    explicit ServerResources(const Settings& settings) : dependency(settings) {}
    ServerResources(const ServerResources&) = delete;
    ServerResources& operator=(const ServerResources&) = delete;

    /// Takes the limits of new settings. What is in use stays in use, also where a limit becomes smaller.
    void reconfigure(const Settings& settings);
    /// Records the start of a controller. Only the first one starts the server.
    void record_start(Timestamp now);
    /// Time since the start of the server; 0 before it.
    Duration age(Timestamp now) const;
    /// Whether any settings said that the server was just started.
    bool is_cold_start() const { return is_cold_start_; }

    /// Records a notice to drain and returns the time of the first one.
    Timestamp record_drain_notice(Timestamp noticed_at);

    RequestUsage usage;
    /// Retained idempotency keys by expiry time. A key outlives its request, and its generation.
    aces::TimeTable retained_keys;
    aces::DependencyLimiter dependency;

private:
    std::optional<Timestamp> started_at_;
    std::optional<Timestamp> drain_noticed_at_;
    bool is_cold_start_ = false;
};

}  // namespace cressledge::policy
