/// The IPv4 address and port of a process of the fleet, as a plain value. The socket types are in `net/`.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cressledge::membership {

/// IPv4 address and port, both in host byte order. All fields are zero if the endpoint is unknown.
struct Endpoint {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    /// Returns whether both the address and the port are set, so that messages can be sent to the endpoint.
    bool is_reachable() const { return ip != 0 && port != 0; }

    auto operator<=>(const Endpoint&) const = default;
};

/// Formats the endpoint in dotted decimal with the port, for example `127.0.0.1:7946`.
std::string to_string(const Endpoint& endpoint);

}  // namespace cressledge::membership
