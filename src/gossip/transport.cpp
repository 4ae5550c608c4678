#include "gossip/transport.hpp"

#include <stdexcept>

namespace cressledge::gossip {
namespace {

/// Maximum number of attempts to bind port 0. The UDP port that the kernel chooses may be in use for TCP.
constexpr int max_bind_attempts = 16;

}  // namespace

net::Address to_address(const membership::Endpoint& endpoint) {
    net::Address address;
    auto* ipv4 = reinterpret_cast<sockaddr_in*>(&address.raw);
    ipv4->sin_family = AF_INET;
    ipv4->sin_addr.s_addr = htonl(endpoint.ip);
    ipv4->sin_port = htons(endpoint.port);
    return address;
}

membership::Endpoint to_endpoint(const net::Address& address) {
    if (address.raw.ss_family != AF_INET)
        return {};
    const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(&address.raw);
    return {ntohl(ipv4->sin_addr.s_addr), ntohs(ipv4->sin_port)};
}

GossipTransport open_transport(uv_loop_t* loop, const membership::Endpoint& requested,
                               const net::UdpSocket::ReceiveHandler& on_datagram,
                               const std::function<void()>& on_connection) {
    for (int attempt = 1;; ++attempt) {
        GossipTransport transport;
        transport.datagrams = std::make_unique<net::UdpSocket>(loop, to_address(requested), on_datagram);
        transport.local_endpoint = {requested.ip, static_cast<std::uint16_t>(transport.datagrams->port())};
        try {
            transport.listener =
                std::make_unique<net::Listener>(loop, to_address(transport.local_endpoint), on_connection);
            return transport;
        } catch (const std::runtime_error&) {
            if (requested.port != 0 || attempt == max_bind_attempts)
                throw;
        }
    }
}

}  // namespace cressledge::gossip
