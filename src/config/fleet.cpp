#include "config/fleet.hpp"

namespace cressledge::config {
namespace {

membership::Endpoint read_endpoint(const YamlReader& r, const YAML::Node& at, const std::string& field,
                                   const std::string& text) {
    const auto a = net::Address::parse(text);
    if (!a || a->raw.ss_family != AF_INET)
        r.fail(at, field, "not an IPv4 address with a port: " + text);
    return gossip::to_endpoint(*a);
}

std::string read_identifier(const YamlReader& r, const YAML::Node& map, const char* name) {
    const std::string s = r.text(map, name);
    if (!membership::is_valid_id(s))
        r.fail(map[name], name, "not 1 to 64 letters, digits, dots, dashes and underscores: " + s);
    return s;
}

}  // namespace

std::optional<gossip::Settings> read_fleet(const YamlReader& reader, const YAML::Node& doc) {
    const YAML::Node section = doc["fleet"];
    if (!section)
        return std::nullopt;
    reader.require_known_keys(
        section, "fleet",
        {"name", "id", "gossip", "advertise", "seeds", "probe_ms", "indirect", "suspicion", "gossip_ms",
         "fanout", "repeat", "exchange_s", "forget_s", "most_members"});
    gossip::Settings settings;
    settings.fleet_name = read_identifier(reader, section, "name");
    settings.member_id = read_identifier(reader, section, "id");
    settings.listen = read_endpoint(reader, section["gossip"], "gossip", reader.text(section, "gossip"));
    if (section["advertise"])
        settings.advertise =
            read_endpoint(reader, section["advertise"], "advertise", reader.text(section, "advertise"));
    const membership::Endpoint& advertised = section["advertise"] ? settings.advertise : settings.listen;
    if (advertised.ip == 0)
        reader.fail(section[section["advertise"] ? "advertise" : "gossip"],
                    section["advertise"] ? "advertise" : "gossip",
                    "no address that others can reach: name one in advertise");
    if (const YAML::Node seeds = section["seeds"]) {
        if (!seeds.IsSequence())
            reader.fail(seeds, "seeds", "no list");
        for (const auto& seed : seeds) {
            const membership::Endpoint p = seed.IsScalar()
                                               ? read_endpoint(reader, seed, "seeds", seed.Scalar())
                                               : membership::Endpoint{};
            if (p.ip == 0 || p.port == 0)
                reader.fail(seed, "seeds", "not an IPv4 address with a port");
            settings.seeds.push_back(p);
        }
    }
    membership::MembershipSettings& rules = settings.membership;
    rules.probe_interval = reader.duration_ms(section, "probe_ms", 20.0, 500.0);
    rules.indirect_probe_count = reader.integer(section, "indirect", 0.0, 16.0, 3.0);
    rules.suspicion_multiplier = reader.number(section, "suspicion", 1.0, 100.0, 3.0);
    rules.gossip_interval = reader.duration_ms(section, "gossip_ms", 10.0, 100.0);
    rules.gossip_fanout = reader.integer(section, "fanout", 1.0, 16.0, 3.0);
    rules.retransmit_multiplier = reader.integer(section, "repeat", 1.0, 32.0, 6.0);
    const auto seconds = [&](const char* name, double least, double otherwise) {
        return policy::Duration(std::llround(reader.number(section, name, least, 86'400.0, otherwise) * 1e6));
    };
    rules.exchange_interval = seconds("exchange_s", 0.5, 10.0);
    rules.departed_retention = seconds("forget_s", 5.0, 600.0);
    rules.max_members = reader.integer(section, "most_members", 2.0, 100'000.0, 20'000.0);
    return settings;
}

}  // namespace cressledge::config
