/// Emulated load balancing: many balancing processes and many servers, emulated in one process, to measure how evenly a
/// balancing policy distributes the load although each process sees only its own calls.
///
/// The decisions are made by production code (load_balancing::Balancer, upstream_health::HostSet); servers are
/// fake_upstream::ServerModel, and load reports are delayed by the network. The result depends only on the scenario and
/// its seed.
#pragma once

#include <string>
#include <vector>

#include "fake_upstream/load_imbalance.hpp"
#include "load_balancing/balancer.hpp"

namespace cressledge::emulator {

using base::Duration;

/// How a process chooses the server of a call. The first four and the last are baselines; the others are the policies
/// of load_balancing::Balancer.
enum class BalancingChoice {
    /// Random, weighted by capacity.
    random,
    /// Smooth weighted round robin by capacity, independently in each process.
    round_robin,
    /// The server with the lowest utilization according to reports of all servers that are refreshed every second.
    stale_reports,
    /// Of two servers drawn by capacity, the one with fewer calls of this process in flight in relation to its
    /// capacity.
    local_two_choices,
    /// load_balancing::Balancer with two random choices by peak EWMA.
    two_choices,
    /// load_balancing::Balancer with a pool of probe answers.
    probe_pool,
    /// load_balancing::Balancer with probes before each call.
    probe_first,
    /// Join the shortest queue with perfect knowledge: a bound that no real process can reach.
    join_shortest_queue,
};
/// Name in printed tables.
const char* to_string(BalancingChoice choice);

/// A fault or another change of conditions during a run.
struct ScenarioEvent {
    enum class Type {
        /// `servers` become slower by `factor`; 1 restores them.
        slow_down,
        /// `servers` fail every call after 1 ms.
        fail,
        /// `servers` stop failing.
        recover,
        /// `servers` are down for `duration_s` and restart cold.
        restart_servers,
        /// All processes lose their state.
        restart_processes,
        /// The number of processes becomes `factor`.
        resize_fleet,
        /// The load is multiplied by `factor` for `duration_s`.
        load_burst,
    };
    /// Seconds from the end of the warm-up.
    double at_s = 0.0;
    Type type = Type::slow_down;
    /// Indices of the affected servers.
    std::vector<std::size_t> servers;
    double factor = 1.0;
    double duration_s = 0.0;
};

/// Configuration of one run.
struct LoadSpreadScenario {
    BalancingChoice choice = BalancingChoice::probe_first;
    std::size_t processes = 300, servers = 300;
    /// Capacities, assigned to the servers cyclically. A server has `server_profile.slots` times its capacity slots.
    std::vector<double> capacities{1.0, 2.0, 4.0};
    fake_upstream::ServerProfile server_profile;
    /// Offered load as a fraction of all slots.
    double load = 0.8;
    /// Duration of the measurement, and of the warm-up before it.
    double seconds = 10.0, warm_up_s = 3.0;
    /// Whether calls arrive in batches of ten instead of singly; both are Poisson processes.
    bool bursty = false;
    Duration round_trip{500};
    /// Number of probes per call, for BalancingChoice::probe_first.
    unsigned probes_per_call = 5;
    /// Whether servers add the calls expected from recent probes to the load they report.
    bool reports_expected_calls = true;
    load_balancing::LoadProbeSettings probing;
    /// Number of servers that each process uses, assigned evenly among processes; 0 for all.
    std::size_t subset_size = 0;
    std::uint64_t seed = 1;
    std::vector<ScenarioEvent> events;
};

/// Results of a run.
struct LoadSpreadResult {
    fake_upstream::LoadImbalance imbalance;
    /// Latencies of successful calls.
    double p50_ms = 0.0, p95_ms = 0.0, p99_ms = 0.0, p999_ms = 0.0;
    /// Fraction of the calls that failed.
    double error_rate = 0.0;
    /// Fraction of subset members that were replaced when the number of processes changed, over the processes that
    /// remained; the highest of several changes.
    double subset_churn = 0.0;
    std::uint64_t calls = 0, probes = 0;
};

/// Runs a scenario to its end.
LoadSpreadResult emulate_load_spread(const LoadSpreadScenario& scenario);

}  // namespace cressledge::emulator
