#include "admission/networks.hpp"

#include <algorithm>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

#include "admission/hash.hpp"

namespace cressledge::admission {
namespace ip = boost::asio::ip;

std::optional<Network> parse_network(const std::string& text, std::string& wrong) {
    boost::system::error_code bad;
    const bool whole = text.find('/') == std::string::npos;
    if (text.find(':') == std::string::npos) {
        const auto n = ip::make_network_v4(whole ? text + "/32" : text, bad);
        if (!bad && n.canonical() == n)
            return Network{Ip::v4(n.address().to_uint()), 96U + n.prefix_length()};
    } else {
        const auto n = ip::make_network_v6(whole ? text + "/128" : text, bad);
        if (!bad && n.canonical() == n)
            return Network{Ip::v6(n.address().to_bytes()), static_cast<unsigned>(n.prefix_length())};
    }
    wrong = (bad ? "not a network: " : "bits set beyond its prefix: ") + text;
    return std::nullopt;
}

std::size_t Networks::Hash::operator()(const Ip& ip) const noexcept { return hash(ip, 0); }

bool Networks::add(const Network& network, GroupNo group, std::string& wrong) {
    for (const Listed& l : all_) {
        const bool same = l.network == network;
        const bool nested = l.network.holds(network) || network.holds(l.network);
        if (!same && !(nested && l.group == group)) continue;
        wrong = (same ? "a duplicate: " : "overlaps one of its group: ") + network.text();
        if (!same) wrong += " and " + l.network.text();
        return false;
    }
    all_.push_back({network, group});
    auto at = std::find_if(lengths_.begin(), lengths_.end(),
                           [&](const Length& l) { return l.bits <= network.bits; });
    if (at == lengths_.end() || at->bits != network.bits) at = lengths_.insert(at, Length{network.bits, {}});
    at->bases.emplace(network.base, group);
    return true;
}

Networks::Found Networks::find(const Ip& ip) const {
    for (const Length& l : lengths_) {
        if (l.bits < 96 && ip.is_v4()) break;  // what is left are IPv6 networks
        const auto it = l.bases.find(ip.masked(l.bits));
        if (it != l.bases.end()) return {it->second, l.bits};
    }
    return {};
}

}  // namespace cressledge::admission
