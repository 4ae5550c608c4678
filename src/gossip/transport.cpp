#include "gossip/transport.hpp"

#include <stdexcept>

namespace cressledge::gossip {
namespace {

constexpr int max_bind_attempts = 16;  // one of the kernel's choosing may be taken for the other kind

}  // namespace

net::Address to_address(const membership::Endpoint& p) {
    net::Address a;
    auto* four = reinterpret_cast<sockaddr_in*>(&a.raw);
    four->sin_family = AF_INET;
    four->sin_addr.s_addr = htonl(p.ip);
    four->sin_port = htons(p.port);
    return a;
}
membership::Endpoint to_endpoint(const net::Address& a) {
    if (a.raw.ss_family != AF_INET)
        return {};
    const auto* four = reinterpret_cast<const sockaddr_in*>(&a.raw);
    return {ntohl(four->sin_addr.s_addr), ntohs(four->sin_port)};
}

GossipTransport open_transport(uv_loop_t* loop, const membership::Endpoint& requested,
                               const net::UdpSocket::ReceiveHandler& on_datagram,
                               const std::function<void()>& on_connection) {
    for (int n = 1;; ++n) {
        GossipTransport p;
        p.datagrams = std::make_unique<net::UdpSocket>(loop, to_address(requested), on_datagram);
        p.local_endpoint = {requested.ip, static_cast<std::uint16_t>(p.datagrams->port())};
        try {
            p.listener = std::make_unique<net::Listener>(loop, to_address(p.local_endpoint), on_connection);
            return p;
        } catch (const std::runtime_error&) {
            if (requested.port != 0 || n == max_bind_attempts)
                throw;
        }
    }
}

std::string encode_frame(const std::string& body) {
    std::string bytes;
    for (std::size_t i = 0; i < frame_header_bytes; ++i)
        bytes.push_back(static_cast<char>(body.size() >> (8 * (frame_header_bytes - 1 - i)) & 0xFFU));
    return bytes + body;
}
std::size_t decode_frame_length(std::string_view bytes) {
    std::size_t n = 0;
    for (std::size_t i = 0; i < frame_header_bytes; ++i)
        n = n << 8U | static_cast<unsigned char>(bytes[i]);
    return n;
}

}  // namespace cressledge::gossip
