// An address of a caller as one 128-bit number, and networks of them. IPv4 addresses always stand in their mapped
// form (::ffff:a.b.c.d): guards against one caller counted twice because a dual-stack socket tells it the other way.
// RFC 4291, 2.5.5.2.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

namespace cressledge::connection_admission {

struct IpAddress {
    std::uint64_t high = 0, low = 0;  // host order; high holds the first eight bytes
    auto operator<=>(const IpAddress&) const = default;

    static IpAddress from_v4(std::uint32_t host_order) { return {0, 0xffff'0000'0000ULL | host_order}; }
    static IpAddress from_v6(const std::array<unsigned char, 16>& bytes);
    bool is_v4() const { return high == 0 && low >> 32U == 0xffffU; }
    IpAddress masked(unsigned prefix_length) const;  // 0 to 128: the first `bits`, the others cleared
    std::string to_string() const;  // as people write it; a mapped one as IPv4
};

struct Network {
    IpAddress base_address;
    unsigned prefix_length = 128;  // of the 128; an IPv4 /24 is a 120
    auto operator<=>(const Network&) const = default;
    // Whether `other` lies inside or is the same. IPv6 networks shorter than /96 do not take in IPv4.
    bool contains(const Network& other) const;
    std::string to_string() const;  // a network of one address without its prefix
};

}  // namespace cressledge::connection_admission
