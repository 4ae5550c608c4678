// The networks of listed clients, by client group.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "connection_admission/ip_address.hpp"
#include "connection_admission/network_error.hpp"

namespace cressledge::connection_admission {

/// 0: no group; the first group is 1.
using GroupIndex = std::size_t;

/// Reads 10.0.0.0/8, 2001:db8::/32, or one address. Returns nothing and sets `error` if the text is no
/// network or has bits set beyond its prefix.
std::optional<Network> parse_network(const std::string& text, NetworkError& error);

/// Finds the client group of an address by the longest listed prefix that contains it.
class NetworkGroupTable {
public:
    /// Returns false and sets `error` if the network is listed already, or overlaps with one of its own
    /// group: the first says nothing, the second probably hides a mistake. A network inside one of another
    /// group is an exception to it.
    bool add(const Network& network, GroupIndex group_index, NetworkError& error);

    struct Match {
        GroupIndex group_index = 0;
        /// Of the network that lists the address.
        unsigned prefix_length = 0;
    };
    /// The group of the longest prefix that contains the address.
    Match longest_match(const IpAddress& address) const;

    /// The number of networks.
    std::size_t size() const { return entries_.size(); }

private:
    struct IpAddressHash {
        std::size_t operator()(const IpAddress& address) const noexcept;
    };
    struct PrefixTable {
        unsigned prefix_length = 0;
        std::unordered_map<IpAddress, GroupIndex, IpAddressHash> groups_by_base_address;
    };
    struct NetworkEntry {
        Network network;
        GroupIndex group_index = 0;
    };

    /// Why the network can't be added; nothing if it can.
    std::optional<NetworkError> find_conflict(const Network& network, GroupIndex group_index) const;
    PrefixTable& prefix_table_of(unsigned prefix_length);

    /// The longest prefix first. A look-up costs one probe for each prefix length in use.
    std::vector<PrefixTable> prefix_tables_;
    std::vector<NetworkEntry> entries_;
};

}  // namespace cressledge::connection_admission
