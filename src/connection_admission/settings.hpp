// Settings of connection admission. A limit of 0 means "no limit" unless documented otherwise.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"
#include "connection_admission/network_group_table.hpp"

namespace cressledge::connection_admission {

using base::Duration;
using base::Timestamp;

/// Limits of one source.
struct SourceLimits {
    /// Maximum number of open connections.
    std::uint32_t max_connections = 0;
    /// Maximum number of requests in flight.
    std::uint32_t max_in_flight_requests = 0;
    /// Rate of the token bucket for new connections, in tokens per second.
    double connections_per_second = 0.0;
    /// Capacity of the token bucket for new connections, in tokens.
    double connection_burst = 1.0;
};

/// A client group: clients listed by their networks, with reserved capacity.
struct ClientGroup {
    std::string name;
    /// Limits of each source in the group, since a listed client may misbehave too.
    SourceLimits source_limits;
    std::uint32_t reserved_connections = 0;
    std::uint32_t reserved_requests = 0;
};

/// Limits of connections, requests and sources, and the client groups with their reserves.
struct Settings {
    /// Maximum number of open connections over all frontends; at least 1.
    std::uint32_t max_connections = 256;
    /// Maximum number of requests in flight; 0 means `max_connections`.
    std::uint32_t max_in_flight_requests = 0;
    /// Maximum number of rejected connections that are still read so that their request can be answered with
    /// Retry-After.
    std::uint32_t rejection_slots = 0;
    /// Limits of each source that no group lists.
    SourceLimits unlisted_source_limits;
    /// IPv4 addresses with the same prefix of this length, in bits, are one source.
    unsigned v4_prefix_length = 32;
    /// IPv6 addresses with the same prefix of this length, in bits, are one source.
    unsigned v6_prefix_length = 128;
    /// The dynamic threshold of an unlisted source is the number of free connections times this factor; 0
    /// disables it.
    double dynamic_threshold_factor = 0.0;
    /// Number of sources tracked at a time, raised to at least four times `max_connections`.
    std::uint32_t tracked_sources = 4096;
    /// Maximum Retry-After of a rejection.
    Duration max_retry_after{1'000'000};
    /// Group index n of `networks` refers to groups[n - 1].
    std::vector<ClientGroup> groups;
    NetworkGroupTable networks;
};

}  // namespace cressledge::connection_admission
