// The networks of listed callers, by group.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "connection_admission/ip_address.hpp"

namespace cressledge::connection_admission {

using GroupIndex = std::size_t;  // 0: not listed; the first group is 1

// 10.0.0.0/8, 2001:db8::/32, or one address. `wrong` says what is not well formed: no network, bits set beyond the
// prefix.
std::optional<Network> parse_network(const std::string& text, std::string& error);

class NetworkGroupTable {
public:
    // False: refused, and `wrong` says why. The same network twice, or one inside another of its own group, would say
    // nothing or hide a mistake; one inside another group's is an exception to it.
    bool add(const Network& network, GroupIndex group_index, std::string& error);
    struct Match {
        GroupIndex group_index = 0;
        unsigned prefix_length = 0;  // of the network that lists it
    };
    Match longest_match(const IpAddress& address) const;  // the longest prefix wins
    std::size_t size() const { return entries_.size(); }

private:
    struct IpAddressHash {
        std::size_t operator()(const IpAddress& ip) const noexcept;
    };
    struct PrefixTable {
        unsigned prefix_length = 0;
        std::unordered_map<IpAddress, GroupIndex, IpAddressHash> groups_by_base_address;
    };
    struct NetworkEntry {
        Network network;
        GroupIndex group_index = 0;
    };
    std::vector<PrefixTable>
        prefix_tables_;  // the longest first: a look-up costs one probe for each length in use
    std::vector<NetworkEntry> entries_;
};

}  // namespace cressledge::connection_admission
