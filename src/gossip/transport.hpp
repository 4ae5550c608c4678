/// The sockets of the gossip port: one port for datagrams and for connections.
#pragma once

#include <functional>
#include <memory>

#include "gossip/frame.hpp"
#include "membership/codec.hpp"
#include "membership/endpoint.hpp"
#include "net/stream.hpp"
#include "net/udp_socket.hpp"

namespace cressledge::gossip {

/// The IPv4 socket address of a member's endpoint.
net::Address to_address(const membership::Endpoint& endpoint);

/// All zero for an address that is not IPv4.
membership::Endpoint to_endpoint(const net::Address& address);

/// A UDP socket and a listener on one port.
struct GossipTransport {
    std::unique_ptr<net::UdpSocket> datagrams;
    std::unique_ptr<net::Listener> listener;
    membership::Endpoint local_endpoint;
};

/// Binds both sockets. For port 0 the kernel chooses one that is free for both. Throws std::runtime_error if the
/// address cannot be taken.
GossipTransport open_transport(uv_loop_t* loop, const membership::Endpoint& requested,
                               const net::UdpSocket::ReceiveHandler& on_datagram,
                               const std::function<void()>& on_connection);

}  // namespace cressledge::gossip
