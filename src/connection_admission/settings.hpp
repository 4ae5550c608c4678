// What the operator says about admission. All numbers of 0 mean "no such bound" unless said otherwise.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"
#include "connection_admission/network_group_table.hpp"

namespace cressledge::connection_admission {

using base::Duration;
using base::Timestamp;

struct SourceLimits {  // of one source
    std::uint32_t max_connections = 0;  // connections at a time
    std::uint32_t max_in_flight_requests = 0;  // requests at a time
    double connections_per_second = 0.0, connection_burst = 1.0;  // new connections: a token bucket
};

struct ClientGroup {  // listed callers
    std::string name;
    SourceLimits source_limits;  // of each source in it: a listed caller may run away as well
    std::uint32_t reserved_connections = 0, reserved_requests = 0;  // its reserve
};

struct Settings {
    std::uint32_t max_connections = 256;  // open at a time, over all fronts; at least 1
    std::uint32_t max_in_flight_requests = 0;  // in hand at a time; 0: as many as connections
    std::uint32_t rejection_slots = 0;  // refused connections that are still read, for an answer with advice
    SourceLimits unlisted_source_limits;  // of a source that is not listed
    unsigned v4_prefix_length = 32,
             v6_prefix_length = 128;  // callers whose addresses begin alike are one source
    double free_connection_share =
        0.0;  // of the free room, for one source that is not listed; 0: no such rule
    std::uint32_t tracked_sources = 4096;  // remembered at a time; at least four times `connections` are
    Duration max_retry_after{1'000'000};  // the longest advice to stay away
    std::vector<ClientGroup> groups;  // number n of Networks is groups[n - 1]
    NetworkGroupTable networks;
};

}  // namespace cressledge::connection_admission
