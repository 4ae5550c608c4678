/// I/O counters of a gossip node since its start.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "gossip/traffic_meter.hpp"
#include "membership/codec.hpp"

namespace cressledge::gossip {

/// Totals and rates of the datagrams and exchanges of a gossip node.
struct GossipStatistics {
    /// Counts one received message that was dropped for `reason`.
    void count_drop(membership::DropReason reason) { ++dropped_by_reason[static_cast<std::size_t>(reason)]; }

    TrafficMeter sent;
    TrafficMeter received;
    /// Number of dropped received messages, by `membership::DropReason`.
    std::array<std::uint64_t, membership::drop_reason_count> dropped_by_reason{};
    std::uint64_t failed_exchanges = 0;
};

}  // namespace cressledge::gossip
