// Testbed of membership_rig: a cluster of real processes and the event loop that drives it. Measures how long their
// membership tables take to agree. The destructor of the cluster ends every process.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <vector>

#include "fault_injection/process_cluster.hpp"

namespace cressledge::bench {

using base::Duration;
using base::Timestamp;

/// Number of processes, started first, through which the others join.
constexpr std::size_t seed_members = 3;

inline Duration to_duration(double seconds) {
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

inline double to_seconds(Duration duration) {
    return static_cast<double>(duration.count()) / 1e6;
}

/// A cluster of processes and its event loop.
struct MembershipTestbed {
    base::TimerQueue timers;
    net::Loop loop{timers};
    fault_injection::ProcessCluster cluster;

    explicit MembershipTestbed(const fault_injection::ClusterSpec& plan) : cluster(loop, timers, plan) {}

    Timestamp now() { return loop.unix_now(); }

    /// Runs the cluster for `seconds`.
    void wait(double seconds);

    /// Starts one more process that joins through the seeds.
    void add_process();

    /// Waits until each of `observers` has exactly `members` alive. Reports the median and worst time from `start` in
    /// ms, and how many have not agreed within the timeout.
    nlohmann::ordered_json measure_agreement(const std::vector<std::size_t>& observers,
                                             const std::vector<std::size_t>& members, Timestamp start,
                                             double timeout_s);

    /// Measures the agreement of all running processes on each other.
    nlohmann::ordered_json measure_agreement(Timestamp start, double timeout_s);

    /// Returns the sum of each metric `fleet.NAME` over the running processes.
    nlohmann::ordered_json sum_metrics(std::initializer_list<const char*> names);
};

}  // namespace cressledge::bench
