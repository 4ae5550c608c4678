// A UDP socket on the event loop. A datagram that the system does not accept immediately is dropped and counted;
// callers must tolerate loss anyway, since the network may drop datagrams too.
#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <string_view>

#include "net/address.hpp"
#include "net/stream.hpp"

namespace cressledge::net {

/// A bound UDP socket.
class UdpSocket {
public:
    /// Receives one complete datagram. `bytes` is valid only during the call.
    using ReceiveHandler = std::function<void(std::string_view bytes, const Address& from)>;

    /// Throws SocketError if the address cannot be bound.
    UdpSocket(uv_loop_t* loop, const Address& address, ReceiveHandler on_receive);
    ~UdpSocket();
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;

    /// The local port; 0 if it cannot be determined.
    int port() const;

    /// Sends a datagram. Returns false if it was dropped.
    bool send(const Address& to, std::string_view bytes);

    /// Number of datagrams that send() has dropped.
    std::uint64_t dropped_datagrams() const { return dropped_datagrams_; }

private:
    void on_received(ssize_t length, const uv_buf_t& buffer, const sockaddr* from);

    uv_udp_t* handle_;
    ReceiveHandler on_receive_;
    std::uint64_t dropped_datagrams_ = 0;
};

}  // namespace cressledge::net
