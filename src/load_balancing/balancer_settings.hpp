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
    /// The host with the fewest calls in flight from this process; hosts with equal counts take turns.
    least_in_flight,
    /// Smooth weighted round robin, as in nginx.
    round_robin,
    /// The cheaper of two random hosts. The cost is the peak EWMA of the latency times calls in flight, as in Finagle.
    power_of_two_choices,
    /// The host with the best recent load report (`ProbePool`); power of two choices while there are too few reports.
    probe_pool,
    /// The host with the best answer to load probes sent for this call (`least_loaded`); power of two choices if no
    /// host answers.
    probe_first,
};

/// Load balancing settings, from the `routing` section of the operator's file.
struct BalancerSettings {
    BalancingPolicy policy = BalancingPolicy::power_of_two_choices;
    /// Hosts of this data centre are preferred; empty for no preference.
    std::string local_data_centre;
    /// Calls in flight per unit of local weight at which hosts of other data centres are used too.
    double spillover_calls_per_weight = 1.5;
    /// Time in which a latency peak decays to 1/e.
    Duration peak_decay_time{10'000'000};
    /// Limit of calls in flight from this process to one host; 0 for no limit.
    std::uint32_t max_calls_in_flight = 0;
    /// Number of hosts that this process uses; 0 for all.
    std::size_t subset_size = 0;
    /// Name of this process in the fleet.
    std::string node_name;
    LoadProbeSettings probing;
    /// Calls in flight to the host of an affinity key are at most this multiple of the mean over the usable hosts
    /// ("Consistent Hashing with Bounded Loads", Mirrokni, Thorup, Zadimoghaddam, 2018).
    double bounded_load_factor = 1.25;
    SlowStartSettings slow_start;
};

}  // namespace cressledge::load_balancing
