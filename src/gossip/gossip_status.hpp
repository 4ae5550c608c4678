/// Metrics and the JSON status document of a gossip node. docs/operators/fleet.md lists the names.
#pragma once

#include <cstdint>
#include <string>

#include "base/metric.hpp"
#include "gossip/gossip_statistics.hpp"
#include "membership/membership_table.hpp"

namespace cressledge::gossip {

/// Level of detail of the status document.
enum class StatusDetail : std::uint8_t { summary, members };

/// Appends the metrics `fleet.*`. `unsent_datagrams` is the number of datagrams that were dropped because the socket
/// could not send them at once.
void append_gossip_metrics(const membership::MembershipTable& table, GossipStatistics& statistics,
                           std::uint64_t unsent_datagrams, base::Timestamp now, base::Metrics& metrics);

/// Returns the status document: the local member, the digest, the member counts and, with `StatusDetail::members`, the
/// members. Ends with a newline.
std::string gossip_status_json(const std::string& fleet_name, const membership::MembershipTable& table,
                               base::Timestamp now, StatusDetail detail);

}  // namespace cressledge::gossip
