#include "admission/address.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/address_v6.hpp>

namespace cressledge::admission {
namespace {

constexpr unsigned mapped_bits = 96;

std::uint64_t first(unsigned bits) { return bits == 0 ? 0 : ~std::uint64_t{0} << (64U - bits); }

}  // namespace

Ip Ip::v6(const std::array<unsigned char, 16>& bytes) {
    Ip ip;
    for (std::size_t i = 0; i < 8; ++i) {
        ip.high = ip.high << 8U | bytes[i];
        ip.low = ip.low << 8U | bytes[i + 8];
    }
    return ip;
}

Ip Ip::masked(unsigned bits) const {
    if (bits >= 128) return *this;
    if (bits > 64) return {high, low & first(bits - 64)};
    return {high & first(bits), 0};
}

std::string Ip::text() const {
    if (is_v4()) return boost::asio::ip::address_v4(static_cast<std::uint32_t>(low)).to_string();
    boost::asio::ip::address_v6::bytes_type bytes;
    for (std::size_t i = 0; i < 8; ++i) {
        bytes[i] = static_cast<unsigned char>(high >> (56U - 8U * i));
        bytes[i + 8] = static_cast<unsigned char>(low >> (56U - 8U * i));
    }
    return boost::asio::ip::address_v6(bytes).to_string();
}

bool Network::holds(const Network& other) const {
    if (bits < mapped_bits && other.bits >= mapped_bits && other.base.is_v4()) return false;
    return bits <= other.bits && other.base.masked(bits) == base;
}

std::string Network::text() const {
    if (bits >= 128) return base.text();
    const bool four = base.is_v4() && bits >= mapped_bits;
    return base.text() + '/' + std::to_string(four ? bits - mapped_bits : bits);
}

}  // namespace cressledge::admission
