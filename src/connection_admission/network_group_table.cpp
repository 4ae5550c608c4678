#include "connection_admission/network_group_table.hpp"

#include <algorithm>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>
#include <utility>

#include "connection_admission/address_hash.hpp"

namespace cressledge::connection_admission {
namespace {

namespace ip = boost::asio::ip;

/// Length in bits of the prefix of IPv4-mapped addresses, ::ffff:0:0/96.
constexpr unsigned v4_mapped_prefix_length = 96;

}  // namespace

std::optional<Network> parse_network(const std::string& text, NetworkError& error) {
    boost::system::error_code parse_error;
    const bool has_prefix = text.find('/') != std::string::npos;
    const bool is_v6 = text.find(':') != std::string::npos;
    if (is_v6) {
        const auto network = ip::make_network_v6(has_prefix ? text : text + "/128", parse_error);
        if (!parse_error && network.canonical() == network)
            return Network{IpAddress::from_v6(network.address().to_bytes()),
                           static_cast<unsigned>(network.prefix_length())};
    } else {
        const auto network = ip::make_network_v4(has_prefix ? text : text + "/32", parse_error);
        if (!parse_error && network.canonical() == network)
            return Network{IpAddress::from_v4(network.address().to_uint()),
                           v4_mapped_prefix_length + network.prefix_length()};
    }
    error = {parse_error ? NetworkErrorCause::not_a_network : NetworkErrorCause::host_bits_set, text, {}};
    return std::nullopt;
}

std::size_t NetworkGroupTable::IpAddressHash::operator()(const IpAddress& address) const noexcept {
    return hash_address(address, 0);
}

bool NetworkGroupTable::add(const Network& network, GroupIndex group_index, NetworkError& error) {
    if (auto conflict = find_conflict(network, group_index)) {
        error = std::move(*conflict);
        return false;
    }
    entries_.push_back({network, group_index});
    prefix_table_of(network.prefix_length).groups_by_base_address.emplace(network.base_address, group_index);
    return true;
}

std::optional<NetworkError> NetworkGroupTable::find_conflict(const Network& network,
                                                             GroupIndex group_index) const {
    for (const NetworkEntry& entry : entries_) {
        if (entry.network == network)
            return NetworkError{NetworkErrorCause::duplicate, network.to_string(), {}};
        const bool overlaps = entry.network.contains(network) || network.contains(entry.network);
        if (overlaps && entry.group_index == group_index)
            return NetworkError{NetworkErrorCause::overlaps_own_group, network.to_string(),
                                entry.network.to_string()};
    }
    return std::nullopt;
}

NetworkGroupTable::PrefixTable& NetworkGroupTable::prefix_table_of(unsigned prefix_length) {
    auto table = std::find_if(prefix_tables_.begin(), prefix_tables_.end(),
                              [&](const PrefixTable& other) { return other.prefix_length <= prefix_length; });
    if (table == prefix_tables_.end() || table->prefix_length != prefix_length)
        table = prefix_tables_.insert(table, PrefixTable{prefix_length, {}});
    return *table;
}

NetworkGroupTable::Match NetworkGroupTable::longest_match(const IpAddress& address) const {
    for (const PrefixTable& table : prefix_tables_) {
        // The remaining tables hold only IPv6 networks.
        if (table.prefix_length < v4_mapped_prefix_length && address.is_v4())
            break;
        const auto found = table.groups_by_base_address.find(address.masked(table.prefix_length));
        if (found != table.groups_by_base_address.end())
            return {found->second, table.prefix_length};
    }
    return {};
}

}  // namespace cressledge::connection_admission
