// Data of one upstream host: its inventory entry, its health state and statistics of its calls and health checks.
// `HostSet` owns and updates it.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string>

#include "base/timer_queue.hpp"

namespace cressledge::upstream_health {

using base::Duration;
using base::Timestamp;
/// Random generator for choices among hosts (PCG, O'Neill 2014); seeded by the caller.
using Random = pcg32;

/// Index of a host in its `HostSet`. It is reused for another host after this one is removed.
using HostId = std::uint32_t;
/// The id that stands for no host.
constexpr HostId no_host = ~HostId{0};

/// Health state of a host; see `HostSet` for the transitions.
enum class HostState : std::uint8_t { warming_up, ready, suspect, ejected, draining, removed };

/// Name of the state in log lines: `warming_up` is "joining" and `removed` is "gone".
const char* to_string(HostState state);

/// Result of a call or a health check.
enum class CallResult : std::uint8_t { ok, error, connection_refused, timeout };

/// The inventory entry of a host.
struct HostSpec {
    std::string name;
    std::string address;
    std::string protocol;
    std::string data_centre;
    std::string machine_model;
    double weight = 1.0;
    /// The host is in the inventory but must not get new calls.
    bool drain_requested = false;
    bool operator==(const HostSpec&) const = default;
};

/// A host with its health state and statistics.
struct HostStatus {
    HostSpec spec;
    HostState state = HostState::removed;
    Timestamp state_since{0};
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_ejections = 0;
    std::uint32_t calls_in_flight = 0;
    /// Fraction of failed calls, 0 to 1, and mean latency of successful calls; both exponentially weighted.
    double failure_rate = 0.0;
    double mean_latency_s = 0.0;
    /// Number of calls in these two averages.
    double sample_calls = 0.0;
    Timestamp ejected_until{0};
    Timestamp next_health_check{0};
    /// Version of the last inventory that listed the host.
    std::uint64_t inventory_version = 0;
};

/// A transition between health states, for the log and for owners of per-host data.
struct HostStateChange {
    HostId host_id = no_host;
    HostState old_state = HostState::removed;
    HostState new_state = HostState::removed;
    /// Constant phrase for the log.
    const char* reason = "";
};

}  // namespace cressledge::upstream_health
