// The operator's settings of connection admission. A number of 0 means "no such limit" unless said otherwise.
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
    /// Open at a time.
    std::uint32_t max_connections = 0;
    /// In flight at a time.
    std::uint32_t max_in_flight_requests = 0;
    /// Token bucket of new connections: its rate.
    double connections_per_second = 0.0;
    /// Token bucket of new connections: its depth.
    double connection_burst = 1.0;
};

/// Clients listed by their networks, with reserved capacity.
struct ClientGroup {
    std::string name;
    /// Of each source in the group: a listed client may misbehave as well.
    SourceLimits source_limits;
    std::uint32_t reserved_connections = 0;
    std::uint32_t reserved_requests = 0;
};

/// Limits of connections, requests and sources, and the client groups that have reserves.
struct Settings {
    /// Open at a time over all frontends; at least 1.
    std::uint32_t max_connections = 256;
    /// In flight at a time; 0: as many as connections.
    std::uint32_t max_in_flight_requests = 0;
    /// Rejected connections that are still read, so that their request gets a response with Retry-After.
    std::uint32_t rejection_slots = 0;
    /// Limits of a source that no group lists.
    SourceLimits unlisted_source_limits;
    /// IPv4 addresses with the same prefix are one source.
    unsigned v4_prefix_length = 32;
    /// IPv6 addresses with the same prefix are one source.
    unsigned v6_prefix_length = 128;
    /// One unlisted source may have as many connections as are still free times this factor; 0: no such rule.
    double dynamic_threshold_factor = 0.0;
    /// Sources remembered at a time; at least four times `max_connections` are.
    std::uint32_t tracked_sources = 4096;
    /// The longest Retry-After of a rejection.
    Duration max_retry_after{1'000'000};
    /// Group number n of `networks` is groups[n - 1].
    std::vector<ClientGroup> groups;
    NetworkGroupTable networks;
};

}  // namespace cressledge::connection_admission
