// One upstream host: what the inventory says of it, its health state, and what calls and health checks have shown.
// Plain data; `HostSet` owns and changes it.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string>

#include "base/timer_queue.hpp"

namespace cressledge::upstream_health {

using base::Duration;
using base::Timestamp;
/// The generator of all random choices among hosts (PCG, O'Neill 2014); its caller seeds it.
using Random = pcg32;

/// Index of a host in its `HostSet`: its own until it is removed, then used again for another one.
using HostId = std::uint32_t;
constexpr HostId no_host = ~HostId{0};

/// Health state of a host; see `HostSet` for the transitions.
enum class HostState : std::uint8_t { warming_up, ready, suspect, ejected, draining, removed };

/// The state's word in log lines.
const char* to_string(HostState state);

/// How a call or a health check ended.
enum class CallResult : std::uint8_t { ok, error, connection_refused, timeout };

/// A host as the inventory has it.
struct HostSpec {
    std::string name;
    std::string address;
    std::string protocol;
    std::string data_centre;
    std::string machine_model;
    double weight = 1.0;
    /// It stays in the inventory, and gets no new calls.
    bool drain_requested = false;
    bool operator==(const HostSpec&) const = default;
};

/// A host and what is known of its health.
struct HostStatus {
    HostSpec spec;
    HostState state = HostState::removed;
    Timestamp state_since{0};
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_ejections = 0;
    std::uint32_t calls_in_flight = 0;
    /// Fraction of calls that fail, 0 to 1, and the latency of successful ones; both exponentially weighted.
    double failure_rate = 0.0;
    double mean_latency_s = 0.0;
    /// Calls behind these two figures.
    double sample_calls = 0.0;
    Timestamp ejected_until{0};
    Timestamp next_health_check{0};
    /// The inventory that last listed the host.
    std::uint64_t inventory_version = 0;
};

/// A transition, for the log and for owners of data about the host.
struct HostStateChange {
    HostId host_id = no_host;
    HostState old_state = HostState::removed;
    HostState new_state = HostState::removed;
    /// A constant phrase for the log.
    const char* reason = "";
};

}  // namespace cressledge::upstream_health
