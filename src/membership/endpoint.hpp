/// An IPv4 address with a port: where a process of the fleet is reached. A plain value; sockets are in `net/`.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cressledge::membership {

/// IPv4 address and port, both in host byte order. All zero: not known.
struct Endpoint {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    /// Whether both the address and the port are given, so that a message can be sent there.
    bool is_reachable() const { return ip != 0 && port != 0; }

    auto operator<=>(const Endpoint&) const = default;
};

/// Dotted decimal with the port, as in `127.0.0.1:7946`.
std::string to_string(const Endpoint& endpoint);

}  // namespace cressledge::membership
