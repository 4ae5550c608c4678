#include "gossip/gossip_status.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cressledge::gossip {
namespace {

using membership::MembershipTable;

constexpr std::int64_t microseconds_per_millisecond = 1'000;

/// Returns the number of alive members, including this process.
std::size_t alive_count(const MembershipTable& table) {
    return table.live_count() - table.suspect_count() + 1;
}

void append_protocol_metrics(const MembershipTable& table, base::Metrics& metrics) {
    const membership::Counters& counters = table.counters();
    metrics.emplace_back("fleet.alive", alive_count(table));
    metrics.emplace_back("fleet.suspect", table.suspect_count());
    metrics.emplace_back("fleet.probes", counters.probes);
    metrics.emplace_back("fleet.acks", counters.acks);
    metrics.emplace_back("fleet.indirect_probes", counters.indirect_probes);
    metrics.emplace_back("fleet.nacks", counters.nacks);
    metrics.emplace_back("fleet.suspicions", counters.suspicions_raised);
    metrics.emplace_back("fleet.suspected", counters.members_suspected);
    metrics.emplace_back("fleet.refuted", counters.suspicions_refuted);
    metrics.emplace_back("fleet.refutations", counters.own_refutations);
    metrics.emplace_back("fleet.dead", counters.dead);
    metrics.emplace_back("fleet.joined", counters.joined);
    metrics.emplace_back("fleet.left", counters.left);
    metrics.emplace_back("fleet.revived", counters.revived);
    metrics.emplace_back("fleet.forgotten", counters.forgotten);
    metrics.emplace_back("fleet.displaced", counters.displaced);
    metrics.emplace_back("fleet.conflicts", counters.id_conflicts);
    metrics.emplace_back("fleet.standstills", counters.stalls);
    metrics.emplace_back("fleet.exchanges", counters.exchanges);
}

void append_traffic_metrics(GossipStatistics& statistics, std::uint64_t unsent_datagrams, base::Timestamp now,
                            base::Metrics& metrics) {
    metrics.emplace_back("fleet.exchanges_failed", statistics.failed_exchanges);
    metrics.emplace_back("fleet.bytes_sent", statistics.sent.total_bytes());
    metrics.emplace_back("fleet.bytes_received", statistics.received.total_bytes());
    metrics.emplace_back("fleet.bytes_sent_per_s", statistics.sent.bytes_per_second(now));
    metrics.emplace_back("fleet.bytes_received_per_s", statistics.received.bytes_per_second(now));
    metrics.emplace_back("fleet.datagrams_sent", statistics.sent.total_datagrams());
    metrics.emplace_back("fleet.datagrams_received", statistics.received.total_datagrams());
    metrics.emplace_back("fleet.datagrams_unsent", unsent_datagrams);
}

void append_drop_metrics(const GossipStatistics& statistics, const membership::Counters& counters,
                         base::Metrics& metrics) {
    for (std::size_t i = 0; i < membership::drop_reason_count; ++i) {
        const char* reason = membership::to_string(static_cast<membership::DropReason>(i));
        metrics.emplace_back(std::string("fleet.dropped.") + reason, statistics.dropped_by_reason[i]);
    }
    metrics.emplace_back("fleet.dropped.full", counters.rejected_at_capacity);
    metrics.emplace_back("fleet.dropped.astray", counters.misdirected_probes);
}

nlohmann::ordered_json self_to_json(const MembershipTable& table) {
    const membership::LocalMember& local = table.local_member();
    return {{"id", local.id},
            {"address", membership::to_string(local.endpoint)},
            {"state", table.is_leaving() ? "left" : "alive"},
            {"incarnation", table.incarnation()},
            {"birth", local.start_time_us},
            {"displaced", table.is_displaced()}};
}

nlohmann::ordered_json member_to_json(const membership::MemberInfo& member, base::Timestamp now) {
    const std::int64_t changed_ms = (now - member.changed_at).count() / microseconds_per_millisecond;
    return {{"id", member.id},
            {"address", membership::to_string(member.endpoint)},
            {"state", membership::to_string(member.state)},
            {"incarnation", member.incarnation},
            {"changed_ms", std::max<std::int64_t>(0, changed_ms)}};
}

}  // namespace

void append_gossip_metrics(const MembershipTable& table, GossipStatistics& statistics,
                           std::uint64_t unsent_datagrams, base::Timestamp now, base::Metrics& metrics) {
    append_protocol_metrics(table, metrics);
    append_traffic_metrics(statistics, unsent_datagrams, now, metrics);
    append_drop_metrics(statistics, table.counters(), metrics);
}

std::string gossip_status_json(const std::string& fleet_name, const MembershipTable& table,
                               base::Timestamp now, StatusDetail detail) {
    nlohmann::ordered_json document;
    document["fleet"] = fleet_name;
    document["self"] = self_to_json(table);
    document["digest"] = fmt::format("{:016x}", table.digest());
    document["alive"] = alive_count(table);
    document["suspect"] = table.suspect_count();
    if (detail == StatusDetail::members) {
        auto& members = document["members"] = nlohmann::ordered_json::array();
        for (const membership::MemberInfo& member : table.members())
            members.push_back(member_to_json(member, now));
    }
    return document.dump() + '\n';
}

}  // namespace cressledge::gossip
