// Socket addresses of IPv4 and IPv6, as numbers: no name is ever resolved.
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

    /// Reads "127.0.0.1:80" or "[::1]:80". Returns nothing for names and malformed text.
    static std::optional<Address> parse(const std::string& text);

    /// The address without its port.
    connection_admission::IpAddress ip() const;

    /// Whether both are the same socket address, byte for byte.
    bool operator==(const Address& other) const { return std::memcmp(&raw, &other.raw, sizeof raw) == 0; }
};

}  // namespace cressledge::net
