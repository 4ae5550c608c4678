/// Emulated load balancing: many balancing processes before many servers in one process, to measure how evenly a
/// balancing rule spreads the load though each process sees only its own calls.
///
/// The decisions are the program's own (load_balancing::Balancer, upstream_health::HostSet); servers are
/// fake_upstream::ServerModel, and load reports are as late as the network makes them. The result depends only on the
/// scenario and its seed.
#pragma once

#include <string>
#include <vector>

#include "fake_upstream/load_imbalance.hpp"
#include "load_balancing/balancer.hpp"

namespace cressledge::emulator {

using base::Duration;

/// How a process chooses the server of a call. The first four and the last are baselines; the others are the program's.
enum class BalancingChoice {
    /// At random, weighted by capacity.
    random,
    /// Smooth weighted round robin by capacity, each process for itself.
    round_robin,
    /// The least utilized by reports of all servers that are a second old.
    stale_reports,
    /// The better of two drawn by capacity: the one with fewer calls of this process in flight for its capacity.
    local_two_choices,
    /// load_balancing::Balancer, two choices by peak EWMA.
    two_choices,
    /// load_balancing::Balancer, probe pool.
    probe_pool,
    /// load_balancing::Balancer, probe first.
    probe_first,
    /// Join the shortest queue by perfect knowledge: the bound that no real process reaches.
    join_shortest_queue,
};
/// The name that tables print.
const char* to_string(BalancingChoice choice);

/// A fault or another change of conditions during a run.
struct ScenarioEvent {
    enum class Type {
        /// `servers` serve `factor` times slower; 1 restores them.
        slow_down,
        /// `servers` answer at once, with errors.
        fail,
        /// `servers` end failing.
        recover,
        /// `servers` are down for `duration_s` and restart cold.
        restart_servers,
        /// All processes lose their state.
        restart_processes,
        /// The number of processes becomes `factor`.
        resize_fleet,
        /// The load is `factor` times as high for `duration_s`.
        load_burst,
    };
    /// Seconds from the end of the warm-up.
    double at_s = 0.0;
    Type type = Type::slow_down;
    /// Indices.
    std::vector<std::size_t> servers;
    double factor = 1.0;
    double duration_s = 0.0;
};

/// One run.
struct LoadSpreadScenario {
    BalancingChoice choice = BalancingChoice::probe_first;
    std::size_t processes = 300, servers = 300;
    /// Of servers in turn. A server has `server_profile.slots` times its capacity slots.
    std::vector<double> capacities{1.0, 2.0, 4.0};
    fake_upstream::ServerProfile server_profile;
    /// Offered load as a fraction of all slots.
    double load = 0.8;
    /// Measured time, and the time before it.
    double seconds = 10.0, warm_up_s = 3.0;
    /// Arrivals in batches of ten instead of single ones, both Poisson.
    bool bursty = false;
    Duration round_trip{500};
    /// Probes of each call, for BalancingChoice::probe_first.
    unsigned probes_per_call = 5;
    /// Whether servers add the calls that recent probes may still bring to the load they report.
    bool reports_expected_calls = true;
    load_balancing::LoadProbeSettings probing;
    /// Servers that each process uses, assigned evenly among processes; 0: all.
    std::size_t subset_size = 0;
    std::uint64_t seed = 1;
    std::vector<ScenarioEvent> events;
};

/// What a run has shown.
struct LoadSpreadResult {
    fake_upstream::LoadImbalance imbalance;
    /// Latencies of successful calls.
    double p50_ms = 0.0, p95_ms = 0.0, p99_ms = 0.0, p999_ms = 0.0;
    /// Fraction of the calls that failed.
    double error_rate = 0.0;
    /// Fraction of subset members that a change of the number of processes replaced in processes that stayed.
    double subset_churn = 0.0;
    std::uint64_t calls = 0, probes = 0;
};

/// Runs a scenario to its end.
LoadSpreadResult emulate_load_spread(const LoadSpreadScenario& scenario);

}  // namespace cressledge::emulator
