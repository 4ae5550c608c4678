/// What operators read of a gossip node: metrics and a JSON document. The names are listed in docs/operators/fleet.md.
#pragma once

#include <cstdint>
#include <string>

#include "base/metric.hpp"
#include "gossip/gossip_statistics.hpp"
#include "membership/membership_table.hpp"

namespace cressledge::gossip {

/// How much of the table the status document shows.
enum class StatusDetail : std::uint8_t { summary, members };

/// Appends the metrics `fleet.*`. `unsent_datagrams`: what the socket could not send at once.
void append_gossip_metrics(const membership::MembershipTable& table, GossipStatistics& statistics,
                           std::uint64_t unsent_datagrams, base::Timestamp now, base::Metrics& metrics);

/// This process, the digest and the number of members, and on request the members.
std::string gossip_status_json(const std::string& fleet_name, const membership::MembershipTable& table,
                               base::Timestamp now, StatusDetail detail);

}  // namespace cressledge::gossip
