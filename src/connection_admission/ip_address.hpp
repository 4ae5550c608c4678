// IP addresses and CIDR blocks as 128-bit numbers. IPv4 addresses are always stored in their IPv4-mapped form
// (::ffff:a.b.c.d, RFC 4291, section 2.5.5.2). Dual-stack sockets report them in that form, and a client must
// not be counted as two sources.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

namespace cressledge::connection_admission {

/// An IPv6 address, or an IPv4 address in its IPv4-mapped form.
struct IpAddress {
    /// The first eight bytes, in host byte order.
    std::uint64_t high = 0;
    /// The last eight bytes, in host byte order.
    std::uint64_t low = 0;
    auto operator<=>(const IpAddress&) const = default;

    /// The IPv4-mapped IPv6 address of an IPv4 address in host byte order.
    static IpAddress from_v4(std::uint32_t host_order) { return {0, 0xffff'0000'0000ULL | host_order}; }
    /// The IPv6 address with these bytes, in network byte order.
    static IpAddress from_v6(const std::array<unsigned char, 16>& bytes);

    /// Whether this is an IPv4-mapped address.
    bool is_v4() const { return high == 0 && low >> 32U == 0xffffU; }
    /// The address with all but the first `prefix_length` bits (0 to 128) cleared.
    IpAddress masked(unsigned prefix_length) const;
    /// The textual form; dotted decimal for an IPv4-mapped address.
    std::string to_string() const;
};

/// A CIDR block: all addresses with the same prefix.
struct Network {
    /// The first address of the block.
    IpAddress base_address;
    /// In bits of the 128-bit address: 120 for an IPv4 /24.
    unsigned prefix_length = 128;
    auto operator<=>(const Network&) const = default;

    /// Whether `other` is inside this network or equal to it. An IPv6 network with a prefix shorter than /96
    /// contains no IPv4 network.
    bool contains(const Network& other) const;
    /// CIDR notation, or only the address for a network of a single address.
    std::string to_string() const;
};

}  // namespace cressledge::connection_admission
