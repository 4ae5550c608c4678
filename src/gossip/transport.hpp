// One port for datagrams and for connections, and the frame that a full exchange has on a connection: four bytes of
// length, the most significant first, and a membership::Message.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "membership/message.hpp"
#include "net/stream.hpp"
#include "net/udp_socket.hpp"

namespace cressledge::gossip {

net::Address to_address(const membership::Endpoint& place);
membership::Endpoint to_endpoint(const net::Address& address);  // all zero for one that is not IPv4

struct GossipTransport {
    std::unique_ptr<net::UdpSocket> datagrams;
    std::unique_ptr<net::Listener> listener;
    membership::Endpoint local_endpoint;
};
// A port of 0: one of the kernel's choosing that is free for both. Throws std::runtime_error when there is none.
GossipTransport open_transport(uv_loop_t* loop, const membership::Endpoint& requested,
                               const net::UdpSocket::ReceiveHandler& on_datagram,
                               const std::function<void()>& on_connection);

constexpr std::size_t frame_header_bytes = 4;
std::string encode_frame(const std::string& body);
std::size_t decode_frame_length(std::string_view bytes);  // of the body; `bytes` has a whole head at least

}  // namespace cressledge::gossip
