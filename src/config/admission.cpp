#include "config/admission.hpp"

#include <algorithm>

namespace cressledge::config {
namespace {

constexpr double many = 1e6;

admission::Caps caps_from(const Reader& r, const YAML::Node& at) {
    admission::Caps c;
    c.open = r.whole(at, "open", 1.0, many, 0.0);
    c.in_hand = r.whole(at, "in_hand", 1.0, many, 0.0);
    if (const YAML::Node rate = at["rate"]) {
        r.only(rate, "rate", {"per_second", "burst"});
        c.per_second = r.number(rate, "per_second", 0.001, many, needed);
        c.burst = r.number(rate, "burst", 1.0, many, std::max(1.0, c.per_second));
    }
    return c;
}

admission::Group group_from(const Reader& r, const YAML::Node& at, admission::GroupNo no,
                            admission::Networks& networks) {
    r.only(at, "groups", {"name", "networks", "reserve", "open", "rate", "in_hand"});
    admission::Group g;
    g.name = r.text(at, "name");
    g.caps = caps_from(r, at);
    if (const YAML::Node reserve = at["reserve"]) {
        r.only(reserve, "reserve", {"connections", "requests"});
        g.connections = r.whole(reserve, "connections", 1.0, many, needed);
        g.requests = r.whole(reserve, "requests", 1.0, many, g.connections);
    }
    const YAML::Node all = at["networks"];
    if (!all || !all.IsSequence() || all.size() == 0) r.fail(all ? all : at, "networks", "no list");
    for (const YAML::Node& n : all) {
        std::string wrong;
        if (!n.IsScalar()) r.fail(n, "networks", "not a text");
        const auto network = admission::parse_network(n.Scalar(), wrong);
        if (!network || !networks.add(*network, no, wrong)) r.fail(n, "networks", wrong);
    }
    return g;
}

}  // namespace

void read_admission(const Reader& r, const YAML::Node& doc, Operator& o) {
    admission::Settings& s = o.admission;
    s.hold_off = o.settings.max_retry_after;
    s.lobby = std::max(4U, s.connections / 16);
    const YAML::Node at = doc["admission"];
    if (!at) return;
    r.only(at, "admission",
           {"descriptors", "requests", "lobby", "source", "open", "rate", "in_hand", "share", "sources", "top",
            "groups"});
    o.descriptors = r.whole(at, "descriptors", 16.0, many, 0.0);
    o.top = r.whole(at, "top", 1.0, 1000.0, 10.0);
    s.requests = r.whole(at, "requests", 1.0, many, 0.0);
    s.lobby = r.whole(at, "lobby", 0.0, 1024.0, s.lobby);
    s.source = caps_from(r, at);
    s.share = r.number(at, "share", 0.0, 100.0, 1.0);
    s.sources = r.whole(at, "sources", 64.0, 262'144.0, 16'384.0);
    if (const YAML::Node source = at["source"]) {
        r.only(source, "source", {"ipv4", "ipv6"});
        s.v4_bits = r.whole(source, "ipv4", 8.0, 32.0, 32.0);
        s.v6_bits = r.whole(source, "ipv6", 16.0, 128.0, 64.0);
    } else {
        s.v6_bits = 64;  // one customer's network: within it an address costs nothing
    }
    const YAML::Node groups = at["groups"];
    if (!groups) return;
    if (!groups.IsSequence()) r.fail(groups, "groups", "no list");
    std::set<std::string> names;
    std::size_t connections = 0, requests = 0;
    for (const YAML::Node& g : groups) {
        s.groups.push_back(group_from(r, g, s.groups.size() + 1, s.networks));
        const admission::Group& made = s.groups.back();
        if (!names.insert(made.name).second) r.fail(g, "name", "a duplicate: " + made.name);
        connections += made.connections;
        requests += made.requests;
        // Something has to be left for whoever is not listed, or the reserve would be the whole of it.
        if (connections >= s.connections)
            r.fail(g, "reserve", "the reserves take all of the " + std::to_string(s.connections) + " connections");
        if (s.requests != 0 && requests >= s.requests)
            r.fail(g, "reserve", "the reserves take all of the " + std::to_string(s.requests) + " requests");
    }
}

}  // namespace cressledge::config
