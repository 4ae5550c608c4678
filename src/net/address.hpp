// IPv4 and IPv6 socket addresses in numeric form; names are never resolved.
#pragma once

#include <sys/socket.h>

#include <cstring>
#include <optional>
#include <string>

#include "connection_admission/ip_address.hpp"

namespace cressledge::net {

/// An IP address and a port.
struct Address {
    sockaddr_storage raw{};

    /// Parses "127.0.0.1:80" or "[::1]:80". Returns nothing for host names and malformed text.
    static std::optional<Address> parse(const std::string& text);

    /// The address without its port.
    connection_admission::IpAddress ip() const;

    /// Compares the socket addresses byte by byte.
    bool operator==(const Address& other) const { return std::memcmp(&raw, &other.raw, sizeof raw) == 0; }
};

}  // namespace cressledge::net
