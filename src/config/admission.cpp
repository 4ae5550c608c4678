#include "config/admission.hpp"

#include <algorithm>
#include <set>

namespace cressledge::config {
namespace {

constexpr double max_count = 1e6;
/// Default number of rejection slots: one for each this many connections, but at least `min_rejection_slots`.
constexpr std::uint32_t connections_per_rejection_slot = 16;
constexpr std::uint32_t min_rejection_slots = 4;
/// The IPv6 network that one customer typically gets. A client can use any address in it at no cost.
constexpr unsigned customer_v6_prefix_length = 64;

connection_admission::SourceLimits read_source_limits(const YamlReader& reader, const YAML::Node& section) {
    connection_admission::SourceLimits limits;
    limits.max_connections = reader.integer(section, "open", 1.0, max_count, 0.0);
    limits.max_in_flight_requests = reader.integer(section, "in_hand", 1.0, max_count, 0.0);
    if (const YAML::Node rate = section["rate"]) {
        reader.require_known_keys(rate, "rate", {"per_second", "burst"});
        limits.connections_per_second = reader.number(rate, "per_second", 0.001, max_count, required);
        limits.connection_burst =
            reader.number(rate, "burst", 1.0, max_count, std::max(1.0, limits.connections_per_second));
    }
    return limits;
}

void read_networks(const YamlReader& reader, const YAML::Node& section,
                   connection_admission::GroupIndex group_index,
                   connection_admission::NetworkGroupTable& networks) {
    const YAML::Node list = section["networks"];
    if (!list || !list.IsSequence() || list.size() == 0)
        reader.fail(list ? list : section, "networks", "must be a list with at least one entry");
    for (const YAML::Node& entry : list) {
        connection_admission::NetworkError error;
        if (!entry.IsScalar())
            reader.fail(entry, "networks", "must be an address or CIDR block");
        const auto network = connection_admission::parse_network(entry.Scalar(), error);
        if (!network || !networks.add(*network, group_index, error))
            reader.fail(entry, "networks", to_string(error));
    }
}

connection_admission::ClientGroup read_group(const YamlReader& reader, const YAML::Node& section,
                                             connection_admission::GroupIndex group_index,
                                             connection_admission::NetworkGroupTable& networks) {
    reader.require_known_keys(section, "groups", {"name", "networks", "reserve", "open", "rate", "in_hand"});
    connection_admission::ClientGroup group;
    group.name = reader.text(section, "name");
    group.source_limits = read_source_limits(reader, section);
    if (const YAML::Node reserve = section["reserve"]) {
        reader.require_known_keys(reserve, "reserve", {"connections", "requests"});
        group.reserved_connections = reader.integer(reserve, "connections", 1.0, max_count, required);
        group.reserved_requests =
            reader.integer(reserve, "requests", 1.0, max_count, group.reserved_connections);
    }
    read_networks(reader, section, group_index, networks);
    return group;
}

/// Sums of the reservations of the groups read so far.
struct ReservedTotals {
    std::size_t connections = 0;
    std::size_t requests = 0;
};

// Sources outside all groups need at least one connection and one request.
void check_reserves(const YamlReader& reader, const YAML::Node& section,
                    const connection_admission::Settings& settings, const ReservedTotals& totals) {
    if (totals.connections >= settings.max_connections)
        reader.fail(section, "reserve",
                    "the groups reserve all " + std::to_string(settings.max_connections) +
                        " connections: sources outside them need at least one");
    if (settings.max_in_flight_requests != 0 && totals.requests >= settings.max_in_flight_requests)
        reader.fail(section, "reserve",
                    "the groups reserve all " + std::to_string(settings.max_in_flight_requests) +
                        " requests: sources outside them need at least one");
}

void read_groups(const YamlReader& reader, const YAML::Node& section,
                 connection_admission::Settings& settings) {
    const YAML::Node groups = section["groups"];
    if (!groups)
        return;
    if (!groups.IsSequence())
        reader.fail(groups, "groups", "must be a list");
    std::set<std::string> names;
    ReservedTotals totals;
    for (const YAML::Node& entry : groups) {
        settings.groups.push_back(read_group(reader, entry, settings.groups.size() + 1, settings.networks));
        const connection_admission::ClientGroup& group = settings.groups.back();
        if (!names.insert(group.name).second)
            reader.fail(entry, "name", "duplicate group name: " + group.name);
        totals.connections += group.reserved_connections;
        totals.requests += group.reserved_requests;
        check_reserves(reader, entry, settings, totals);
    }
}

void read_prefix_lengths(const YamlReader& reader, const YAML::Node& section,
                         connection_admission::Settings& settings) {
    const YAML::Node source = section["source"];
    if (!source) {
        settings.v6_prefix_length = customer_v6_prefix_length;
        return;
    }
    reader.require_known_keys(source, "source", {"ipv4", "ipv6"});
    settings.v4_prefix_length = reader.integer(source, "ipv4", 8.0, 32.0, 32.0);
    settings.v6_prefix_length = reader.integer(source, "ipv6", 16.0, 128.0, customer_v6_prefix_length);
}

}  // namespace

void read_admission(const YamlReader& reader, const YAML::Node& document, OperatorConfig& config) {
    connection_admission::Settings& settings = config.admission;
    settings.max_retry_after = config.policy_settings.max_retry_after;
    settings.rejection_slots =
        std::max(min_rejection_slots, settings.max_connections / connections_per_rejection_slot);
    const YAML::Node section = document["admission"];
    if (!section)
        return;
    reader.require_known_keys(section, "admission",
                              {"descriptors", "requests", "lobby", "source", "open", "rate", "in_hand",
                               "share", "sources", "top", "groups"});
    config.max_descriptors = reader.integer(section, "descriptors", 16.0, max_count, 0.0);
    config.max_reported_sources = reader.integer(section, "top", 1.0, 1000.0, 10.0);
    settings.max_in_flight_requests = reader.integer(section, "requests", 1.0, max_count, 0.0);
    settings.rejection_slots = reader.integer(section, "lobby", 0.0, 1024.0, settings.rejection_slots);
    settings.unlisted_source_limits = read_source_limits(reader, section);
    settings.dynamic_threshold_factor = reader.number(section, "share", 0.0, 100.0, 1.0);
    settings.tracked_sources = reader.integer(section, "sources", 64.0, 262'144.0, 16'384.0);
    read_prefix_lengths(reader, section, settings);
    read_groups(reader, section, settings);
}

}  // namespace cressledge::config
