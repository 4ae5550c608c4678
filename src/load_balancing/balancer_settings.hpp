// Settings of the balancer.
#pragma once

#include <cstdint>
#include <string>

#include "base/timer_queue.hpp"
#include "load_balancing/load_probes.hpp"
#include "load_balancing/slow_start.hpp"

namespace cressledge::load_balancing {

/// How a host is chosen among those that are eligible.
enum class BalancingPolicy : std::uint8_t {
    /// The host with the fewest of this process's calls in flight; equal ones in turn.
    least_in_flight,
    /// Smooth weighted round robin, as in nginx.
    round_robin,
    /// Of two at random the one of lower cost: peak EWMA of latency times calls in flight, as in Finagle.
    power_of_two_choices,
    /// The best of the latest load reports (`ProbePool`); two choices while too few are known.
    probe_pool,
    /// The best answer to the call's own load probes (`least_loaded`); two choices if none answers.
    probe_first,
};

/// How hosts are chosen; read from the `routing` section of an operator's file.
struct BalancerSettings {
    BalancingPolicy policy = BalancingPolicy::power_of_two_choices;
    /// Hosts of this data centre are preferred; empty: all are alike.
    std::string local_data_centre;
    /// Calls in flight for each unit of weight, over which hosts of other data centres are used as well.
    double spillover_calls_per_weight = 1.5;
    /// Time in which a peak of latency falls to 1/e.
    Duration peak_decay_time{10'000'000};
    /// Calls in flight to one host; 0: no bound.
    std::uint32_t max_calls_in_flight = 0;
    /// Hosts that this process uses; 0: all.
    std::size_t subset_size = 0;
    /// This process's name in the fleet.
    std::string node_name;
    LoadProbeSettings probing;
    /// Calls in flight to the host of an affinity key, at most so many times the mean ("Consistent Hashing with Bounded
    /// Loads", Mirrokni, Thorup, Zadimoghaddam, 2018).
    double bounded_load_factor = 1.25;
    SlowStartSettings slow_start;
};

}  // namespace cressledge::load_balancing
