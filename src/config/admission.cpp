#include "config/admission.hpp"

#include <algorithm>

namespace cressledge::config {
namespace {

constexpr double max_count = 1e6;

connection_admission::SourceLimits read_caps(const YamlReader& reader, const YAML::Node& at) {
    connection_admission::SourceLimits caps;
    caps.max_connections = reader.integer(at, "open", 1.0, max_count, 0.0);
    caps.max_in_flight_requests = reader.integer(at, "in_hand", 1.0, max_count, 0.0);
    if (const YAML::Node rate = at["rate"]) {
        reader.require_known_keys(rate, "rate", {"per_second", "burst"});
        caps.connections_per_second = reader.number(rate, "per_second", 0.001, max_count, required);
        caps.connection_burst =
            reader.number(rate, "burst", 1.0, max_count, std::max(1.0, caps.connections_per_second));
    }
    return caps;
}

connection_admission::ClientGroup read_group(const YamlReader& reader, const YAML::Node& at,
                                             connection_admission::GroupIndex group_id,
                                             connection_admission::NetworkGroupTable& networks) {
    reader.require_known_keys(at, "groups", {"name", "networks", "reserve", "open", "rate", "in_hand"});
    connection_admission::ClientGroup group;
    group.name = reader.text(at, "name");
    group.source_limits = read_caps(reader, at);
    if (const YAML::Node reserve = at["reserve"]) {
        reader.require_known_keys(reserve, "reserve", {"connections", "requests"});
        group.reserved_connections = reader.integer(reserve, "connections", 1.0, max_count, required);
        group.reserved_requests =
            reader.integer(reserve, "requests", 1.0, max_count, group.reserved_connections);
    }
    const YAML::Node network_list = at["networks"];
    if (!network_list || !network_list.IsSequence() || network_list.size() == 0)
        reader.fail(network_list ? network_list : at, "networks", "no list");
    for (const YAML::Node& n : network_list) {
        std::string error;
        if (!n.IsScalar())
            reader.fail(n, "networks", "not a text");
        const auto network = connection_admission::parse_network(n.Scalar(), error);
        if (!network || !networks.add(*network, group_id, error))
            reader.fail(n, "networks", error);
    }
    return group;
}

}  // namespace

void read_admission(const YamlReader& reader, const YAML::Node& doc, OperatorConfig& config) {
    connection_admission::Settings& settings = config.admission;
    settings.max_retry_after = config.policy_settings.max_retry_after;
    settings.rejection_slots = std::max(4U, settings.max_connections / 16);
    const YAML::Node section = doc["admission"];
    if (!section)
        return;
    reader.require_known_keys(section, "admission",
                              {"descriptors", "requests", "lobby", "source", "open", "rate", "in_hand",
                               "share", "sources", "top", "groups"});
    config.max_descriptors = reader.integer(section, "descriptors", 16.0, max_count, 0.0);
    config.max_reported_sources = reader.integer(section, "top", 1.0, 1000.0, 10.0);
    settings.max_in_flight_requests = reader.integer(section, "requests", 1.0, max_count, 0.0);
    settings.rejection_slots = reader.integer(section, "lobby", 0.0, 1024.0, settings.rejection_slots);
    settings.unlisted_source_limits = read_caps(reader, section);
    settings.free_connection_share = reader.number(section, "share", 0.0, 100.0, 1.0);
    settings.tracked_sources = reader.integer(section, "sources", 64.0, 262'144.0, 16'384.0);
    if (const YAML::Node source = section["source"]) {
        reader.require_known_keys(source, "source", {"ipv4", "ipv6"});
        settings.v4_prefix_length = reader.integer(source, "ipv4", 8.0, 32.0, 32.0);
        settings.v6_prefix_length = reader.integer(source, "ipv6", 16.0, 128.0, 64.0);
    } else {
        settings.v6_prefix_length = 64;  // one customer's network: within it an address costs nothing
    }
    const YAML::Node groups = section["groups"];
    if (!groups)
        return;
    if (!groups.IsSequence())
        reader.fail(groups, "groups", "no list");
    std::set<std::string> names;
    std::size_t connections = 0, requests = 0;
    for (const YAML::Node& g : groups) {
        settings.groups.push_back(read_group(reader, g, settings.groups.size() + 1, settings.networks));
        const connection_admission::ClientGroup& group = settings.groups.back();
        if (!names.insert(group.name).second)
            reader.fail(g, "name", "a duplicate: " + group.name);
        connections += group.reserved_connections;
        requests += group.reserved_requests;
        // Something has to be left for whoever is not listed, or the reserve would be the whole of it.
        if (connections >= settings.max_connections)
            reader.fail(
                g, "reserve",
                "the reserves take all of the " + std::to_string(settings.max_connections) + " connections");
        if (settings.max_in_flight_requests != 0 && requests >= settings.max_in_flight_requests)
            reader.fail(g, "reserve",
                        "the reserves take all of the " + std::to_string(settings.max_in_flight_requests) +
                            " requests");
    }
}

}  // namespace cressledge::config
