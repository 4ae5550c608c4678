#include "config/fleet.hpp"

#include "net/stream.hpp"

namespace cressledge::config {
namespace {

membership::Endpoint parse_endpoint(const YamlReader& reader, const YAML::Node& at, const std::string& field,
                                    const std::string& text) {
    const auto address = net::Address::parse(text);
    if (!address || address->raw.ss_family != AF_INET)
        reader.fail(at, field, "not an IPv4 address with a port: " + text);
    return gossip::to_endpoint(*address);
}

membership::Endpoint read_endpoint(const YamlReader& reader, const YAML::Node& section, const char* name) {
    return parse_endpoint(reader, section[name], name, reader.text(section, name));
}

std::string read_identifier(const YamlReader& reader, const YAML::Node& section, const char* name) {
    std::string identifier = reader.text(section, name);
    if (!membership::is_valid_id(identifier))
        reader.fail(section[name], name,
                    "must be 1 to 64 letters, digits, dots, dashes or underscores: " + identifier);
    return identifier;
}

void read_addresses(const YamlReader& reader, const YAML::Node& section, gossip::Settings& settings) {
    settings.listen = read_endpoint(reader, section, "gossip");
    const bool is_advertised = section["advertise"].IsDefined();
    if (is_advertised)
        settings.advertise = read_endpoint(reader, section, "advertise");
    const membership::Endpoint& reachable = is_advertised ? settings.advertise : settings.listen;
    const char* field = is_advertised ? "advertise" : "gossip";
    if (reachable.ip == 0)
        reader.fail(section[field], field,
                    "other members cannot reach 0.0.0.0: set advertise to a reachable address");
}

void read_seeds(const YamlReader& reader, const YAML::Node& section, gossip::Settings& settings) {
    const YAML::Node seeds = section["seeds"];
    if (!seeds)
        return;
    if (!seeds.IsSequence())
        reader.fail(seeds, "seeds", "must be a list");
    for (const auto& seed : seeds) {
        membership::Endpoint endpoint;
        if (seed.IsScalar())
            endpoint = parse_endpoint(reader, seed, "seeds", seed.Scalar());
        if (endpoint.ip == 0 || endpoint.port == 0)
            reader.fail(seed, "seeds", "not an IPv4 address with a port");
        settings.seeds.push_back(endpoint);
    }
}

void read_membership(const YamlReader& reader, const YAML::Node& section,
                     membership::MembershipSettings& settings) {
    settings.probe_interval = reader.duration_ms(section, "probe_ms", 20.0, 500.0);
    settings.indirect_probe_count = reader.integer(section, "indirect", 0.0, 16.0, 3.0);
    settings.suspicion_multiplier = reader.number(section, "suspicion", 1.0, 100.0, 3.0);
    settings.gossip_interval = reader.duration_ms(section, "gossip_ms", 10.0, 100.0);
    settings.gossip_fanout = reader.integer(section, "fanout", 1.0, 16.0, 3.0);
    settings.retransmit_multiplier = reader.integer(section, "repeat", 1.0, 32.0, 6.0);
    settings.exchange_interval = reader.duration_s(section, "exchange_s", 0.5, 10.0);
    settings.departed_retention = reader.duration_s(section, "forget_s", 5.0, 600.0);
    settings.max_members = reader.integer(section, "most_members", 2.0, 100'000.0, 20'000.0);
}

}  // namespace

std::optional<gossip::Settings> read_fleet(const YamlReader& reader, const YAML::Node& document) {
    const YAML::Node section = document["fleet"];
    if (!section)
        return std::nullopt;
    reader.require_known_keys(
        section, "fleet",
        {"name", "id", "gossip", "advertise", "seeds", "probe_ms", "indirect", "suspicion", "gossip_ms",
         "fanout", "repeat", "exchange_s", "forget_s", "most_members"});
    gossip::Settings settings;
    settings.fleet_name = read_identifier(reader, section, "name");
    settings.member_id = read_identifier(reader, section, "id");
    read_addresses(reader, section, settings);
    read_seeds(reader, section, settings);
    read_membership(reader, section, settings.membership);
    return settings;
}

}  // namespace cressledge::config
