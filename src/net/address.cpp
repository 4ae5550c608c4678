#include "net/address.hpp"

#include <netinet/in.h>
#include <uv.h>

#include <array>
#include <charconv>

namespace cressledge::net {
namespace {

constexpr unsigned max_port = 65535;

bool is_bracketed(const std::string& host) {
    return host.size() > 2 && host.front() == '[' && host.back() == ']';
}

std::optional<int> parse_port(const char* begin, const char* end) {
    unsigned port = 0;
    const auto [stop, error] = std::from_chars(begin, end, port);
    if (error != std::errc() || stop != end || port > max_port)
        return std::nullopt;
    return static_cast<int>(port);
}

}  // namespace

std::optional<Address> Address::parse(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    const std::optional<int> port = parse_port(text.data() + colon + 1, text.data() + text.size());
    if (!port)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    Address address;
    int error = 0;
    if (is_bracketed(host)) {
        host = host.substr(1, host.size() - 2);
        error = uv_ip6_addr(host.c_str(), *port, reinterpret_cast<sockaddr_in6*>(&address.raw));
    } else {
        error = uv_ip4_addr(host.c_str(), *port, reinterpret_cast<sockaddr_in*>(&address.raw));
    }
    if (error != 0)
        return std::nullopt;
    return address;
}

connection_admission::IpAddress Address::ip() const {
    if (raw.ss_family != AF_INET6)
        return connection_admission::IpAddress::from_v4(
            ntohl(reinterpret_cast<const sockaddr_in*>(&raw)->sin_addr.s_addr));
    std::array<unsigned char, 16> bytes{};
    std::memcpy(bytes.data(), &reinterpret_cast<const sockaddr_in6*>(&raw)->sin6_addr, bytes.size());
    return connection_admission::IpAddress::from_v6(bytes);
}

}  // namespace cressledge::net
