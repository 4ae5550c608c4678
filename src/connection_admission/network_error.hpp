// Errors in the networks of a client group.
#pragma once

#include <string>

namespace cressledge::connection_admission {

/// Why parse_network() or NetworkGroupTable::add() rejects a network.
enum class NetworkErrorCause {
    /// The text is not an IPv4 or IPv6 address with an optional prefix length.
    not_a_network,
    /// The address has bits set beyond its prefix length, as in 10.0.0.1/8.
    host_bits_set,
    /// The network is already listed.
    duplicate,
    /// The network overlaps another network of the same group.
    overlaps_own_group,
};

/// Why a network was rejected, with the networks involved.
struct NetworkError {
    NetworkErrorCause cause = NetworkErrorCause::not_a_network;
    /// The text that was parsed, or the network that was to be added, in CIDR notation.
    std::string network;
    /// For `overlaps_own_group`: the listed network that it overlaps. Otherwise empty.
    std::string listed_network;
};

/// The text for the error message about the settings, for example "a duplicate: 10.0.0.0/8".
std::string to_string(const NetworkError& error);

}  // namespace cressledge::connection_admission
