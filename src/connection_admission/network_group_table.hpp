// Maps the networks of listed clients to client groups.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "connection_admission/ip_address.hpp"
#include "connection_admission/network_error.hpp"

namespace cressledge::connection_admission {

/// Index of a client group: 0 means no group; the first group has index 1.
using GroupIndex = std::size_t;

/// Parses a CIDR block such as 10.0.0.0/8 or 2001:db8::/32, or a single address. Returns nothing and sets
/// `error` if the text is neither, or if bits are set beyond the prefix.
std::optional<Network> parse_network(const std::string& text, NetworkError& error);

/// Finds the client group of an address by longest prefix match.
class NetworkGroupTable {
public:
    /// Adds a network to a group. Returns false and sets `error` if the network is already listed, which
    /// would have no effect, or overlaps another network of the same group, which is probably a mistake. A
    /// network inside a network of another group is allowed and overrides it.
    bool add(const Network& network, GroupIndex group_index, NetworkError& error);

    /// Result of longest_match().
    struct Match {
        GroupIndex group_index = 0;
        /// Prefix length of the matching network.
        unsigned prefix_length = 0;
    };
    /// The group with the longest prefix that matches the address; group index 0 if none matches.
    Match longest_match(const IpAddress& address) const;

    /// Number of networks.
    std::size_t size() const { return entries_.size(); }

private:
    struct IpAddressHash {
        std::size_t operator()(const IpAddress& address) const noexcept;
    };
    /// The networks with the same prefix length.
    struct PrefixTable {
        unsigned prefix_length = 0;
        std::unordered_map<IpAddress, GroupIndex, IpAddressHash> groups_by_base_address;
    };
    struct NetworkEntry {
        Network network;
        GroupIndex group_index = 0;
    };

    /// Why the network cannot be added, or nothing if it can.
    std::optional<NetworkError> find_conflict(const Network& network, GroupIndex group_index) const;
    /// Finds or inserts the table of a prefix length.
    PrefixTable& prefix_table_of(unsigned prefix_length);

    /// In descending order of prefix length. A lookup takes one hash table lookup for each prefix length in
    /// use.
    std::vector<PrefixTable> prefix_tables_;
    std::vector<NetworkEntry> entries_;
};

}  // namespace cressledge::connection_admission
