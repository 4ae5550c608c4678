// Addresses of clients as 128-bit numbers, and networks of them. An IPv4 address always stands in its mapped
// form (::ffff:a.b.c.d, RFC 4291, 2.5.5.2): guards against one client counted twice because a dual-stack
// socket gives its address in that form.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

namespace cressledge::connection_admission {

/// An IPv6 address, or an IPv4 address in its mapped form.
struct IpAddress {
    /// The first eight bytes, in host order.
    std::uint64_t high = 0;
    /// The last eight bytes, in host order.
    std::uint64_t low = 0;
    auto operator<=>(const IpAddress&) const = default;

    /// The IPv4-mapped IPv6 address of an IPv4 address in host byte order.
    static IpAddress from_v4(std::uint32_t host_order) { return {0, 0xffff'0000'0000ULL | host_order}; }
    /// `bytes` are in network order.
    static IpAddress from_v6(const std::array<unsigned char, 16>& bytes);

    /// Whether this is an IPv4-mapped address.
    bool is_v4() const { return high == 0 && low >> 32U == 0xffffU; }
    /// Keeps the first `prefix_length` bits, 0 to 128, and clears the others.
    IpAddress masked(unsigned prefix_length) const;
    /// The usual notation; that of IPv4 for a mapped address.
    std::string to_string() const;
};

/// All addresses with the same prefix.
struct Network {
    IpAddress base_address;
    /// In bits of the 128: 120 for an IPv4 /24.
    unsigned prefix_length = 128;
    auto operator<=>(const Network&) const = default;

    /// Whether `other` lies inside this network or is the same. An IPv6 network shorter than /96 contains no
    /// IPv4.
    bool contains(const Network& other) const;
    /// ADDRESS/PREFIX, or only the address for a network of one.
    std::string to_string() const;
};

}  // namespace cressledge::connection_admission
