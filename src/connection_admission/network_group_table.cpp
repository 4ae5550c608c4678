#include "connection_admission/network_group_table.hpp"

#include <algorithm>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

#include "connection_admission/address_hash.hpp"

namespace cressledge::connection_admission {
namespace ip = boost::asio::ip;

std::optional<Network> parse_network(const std::string& text, std::string& error) {
    boost::system::error_code bad;
    const bool whole = text.find('/') == std::string::npos;
    if (text.find(':') == std::string::npos) {
        const auto n = ip::make_network_v4(whole ? text + "/32" : text, bad);
        if (!bad && n.canonical() == n)
            return Network{IpAddress::from_v4(n.address().to_uint()), 96U + n.prefix_length()};
    } else {
        const auto n = ip::make_network_v6(whole ? text + "/128" : text, bad);
        if (!bad && n.canonical() == n)
            return Network{IpAddress::from_v6(n.address().to_bytes()),
                           static_cast<unsigned>(n.prefix_length())};
    }
    error = (bad ? "not a network: " : "bits set beyond its prefix: ") + text;
    return std::nullopt;
}

std::size_t NetworkGroupTable::IpAddressHash::operator()(const IpAddress& ip) const noexcept {
    return hash_address(ip, 0);
}

bool NetworkGroupTable::add(const Network& network, GroupIndex group_index, std::string& error) {
    for (const NetworkEntry& l : entries_) {
        const bool same = l.network == network;
        const bool nested = l.network.contains(network) || network.contains(l.network);
        if (!same && !(nested && l.group_index == group_index))
            continue;
        error = (same ? "a duplicate: " : "overlaps one of its group: ") + network.to_string();
        if (!same)
            error += " and " + l.network.to_string();
        return false;
    }
    entries_.push_back({network, group_index});
    auto at = std::find_if(prefix_tables_.begin(), prefix_tables_.end(),
                           [&](const PrefixTable& l) { return l.prefix_length <= network.prefix_length; });
    if (at == prefix_tables_.end() || at->prefix_length != network.prefix_length)
        at = prefix_tables_.insert(at, PrefixTable{network.prefix_length, {}});
    at->groups_by_base_address.emplace(network.base_address, group_index);
    return true;
}

NetworkGroupTable::Match NetworkGroupTable::longest_match(const IpAddress& address) const {
    for (const PrefixTable& l : prefix_tables_) {
        if (l.prefix_length < 96 && address.is_v4())
            break;  // what is left are IPv6 networks
        const auto it = l.groups_by_base_address.find(address.masked(l.prefix_length));
        if (it != l.groups_by_base_address.end())
            return {it->second, l.prefix_length};
    }
    return {};
}

}  // namespace cressledge::connection_admission
