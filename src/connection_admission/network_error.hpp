// The typed reasons why a network of a client group is refused.
#pragma once

#include <string>

namespace cressledge::connection_admission {

/// Why parse_network() or NetworkGroupTable::add() refuses a network.
enum class NetworkErrorCause {
    /// The text is no IPv4 or IPv6 address with an optional prefix length.
    not_a_network,
    /// The address has bits set beyond its prefix length, as in 10.0.0.1/8.
    host_bits_set,
    /// The network is listed already.
    duplicate,
    /// The network overlaps one listed for the same group.
    overlaps_own_group,
};

/// Why a network is refused, with the networks concerned.
struct NetworkError {
    NetworkErrorCause cause = NetworkErrorCause::not_a_network;
    /// The text that was read, or the network that was to be added, in its usual notation.
    std::string network;
    /// For `overlaps_own_group`: the listed network that it overlaps; empty otherwise.
    std::string listed_network;
};

/// The reason as the settings' error message writes it, for example "a duplicate: 10.0.0.0/8".
std::string to_string(const NetworkError& error);

}  // namespace cressledge::connection_admission
