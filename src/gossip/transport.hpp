/// The sockets of the gossip port. One port number is used for both datagrams and connections.
#pragma once

#include <functional>
#include <memory>

#include "gossip/frame.hpp"
#include "membership/codec.hpp"
#include "membership/endpoint.hpp"
#include "net/stream.hpp"
#include "net/udp_socket.hpp"

namespace cressledge::gossip {

/// Returns the IPv4 socket address of an endpoint.
net::Address to_address(const membership::Endpoint& endpoint);

/// Returns the endpoint of a socket address. All fields are zero if the address is not IPv4.
membership::Endpoint to_endpoint(const net::Address& address);

/// A UDP socket and a listener on the same port.
struct GossipTransport {
    std::unique_ptr<net::UdpSocket> datagrams;
    std::unique_ptr<net::Listener> listener;
    membership::Endpoint local_endpoint;
};

/// Binds both sockets. For port 0 it uses a port chosen by the kernel that is free for both. Throws std::runtime_error
/// if the address cannot be bound.
GossipTransport open_transport(uv_loop_t* loop, const membership::Endpoint& requested,
                               const net::UdpSocket::ReceiveHandler& on_datagram,
                               const std::function<void()>& on_connection);

}  // namespace cressledge::gossip
