// A UDP socket on the loop. What cannot be sent at once is dropped and counted, as the network itself might do.
#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <string_view>

#include "net/stream.hpp"

namespace cressledge::net {

class UdpSocket {
public:
    // `told` hears of each datagram that came, whole. Throws std::runtime_error when the address cannot be bound.
    using ReceiveHandler = std::function<void(std::string_view bytes, const Address& from)>;
    UdpSocket(uv_loop_t* loop, const Address& address, ReceiveHandler told);
    ~UdpSocket();
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;
    int port() const;
    bool send(const Address& to, std::string_view bytes);
    std::uint64_t dropped_datagrams() const { return dropped_datagrams_; }

private:
    uv_udp_t* handle_;
    ReceiveHandler on_receive_;
    std::uint64_t dropped_datagrams_ = 0;
};

}  // namespace cressledge::net
