#include "connection_admission/ip_address.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/address_v6.hpp>

namespace cressledge::connection_admission {
namespace {

/// Length in bits of the prefix of IPv4-mapped addresses, ::ffff:0:0/96.
constexpr unsigned v4_mapped_prefix_length = 96;

/// Mask of the first `prefix_length` (0 to 64) bits of one half of an address.
std::uint64_t prefix_mask(unsigned prefix_length) {
    return prefix_length == 0 ? 0 : ~std::uint64_t{0} << (64U - prefix_length);
}

}  // namespace

IpAddress IpAddress::from_v6(const std::array<unsigned char, 16>& bytes) {
    IpAddress address;
    for (std::size_t i = 0; i < 8; ++i) {
        address.high = address.high << 8U | bytes[i];
        address.low = address.low << 8U | bytes[i + 8];
    }
    return address;
}

IpAddress IpAddress::masked(unsigned prefix_length) const {
    if (prefix_length >= 128)
        return *this;
    if (prefix_length > 64)
        return {high, low & prefix_mask(prefix_length - 64)};
    return {high & prefix_mask(prefix_length), 0};
}

std::string IpAddress::to_string() const {
    if (is_v4())
        return boost::asio::ip::address_v4(static_cast<std::uint32_t>(low)).to_string();
    boost::asio::ip::address_v6::bytes_type bytes;
    for (std::size_t i = 0; i < 8; ++i) {
        bytes[i] = static_cast<unsigned char>(high >> (56U - 8U * i));
        bytes[i + 8] = static_cast<unsigned char>(low >> (56U - 8U * i));
    }
    return boost::asio::ip::address_v6(bytes).to_string();
}

bool Network::contains(const Network& other) const {
    if (prefix_length < v4_mapped_prefix_length && other.prefix_length >= v4_mapped_prefix_length &&
        other.base_address.is_v4())
        return false;
    return prefix_length <= other.prefix_length && other.base_address.masked(prefix_length) == base_address;
}

std::string Network::to_string() const {
    if (prefix_length >= 128)
        return base_address.to_string();
    const bool is_v4_network = base_address.is_v4() && prefix_length >= v4_mapped_prefix_length;
    return base_address.to_string() + '/' +
           std::to_string(is_v4_network ? prefix_length - v4_mapped_prefix_length : prefix_length);
}

}  // namespace cressledge::connection_admission
