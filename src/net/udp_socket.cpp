#include "net/udp_socket.hpp"

#include <array>
#include <cstring>

#include "net/socket_error.hpp"

namespace cressledge::net {
namespace {

// Large enough for any datagram: a truncated one would be taken for a shorter one.
std::array<char, 65'536> receive_buffer;

void use_receive_buffer(uv_handle_t*, std::size_t, uv_buf_t* buffer) {
    *buffer = uv_buf_init(receive_buffer.data(), static_cast<unsigned>(receive_buffer.size()));
}

void close_and_delete(uv_udp_t* socket) {
    uv_close(reinterpret_cast<uv_handle_t*>(socket),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_udp_t*>(handle); });
}

}  // namespace

UdpSocket::UdpSocket(uv_loop_t* loop, const Address& address, ReceiveHandler on_receive)
    : handle_(new uv_udp_t), on_receive_(std::move(on_receive)) {
    int status = uv_udp_init(loop, handle_);
    if (status != 0) {
        delete handle_;
        throw SocketError("cannot create UDP socket", uv_strerror(status));
    }
    handle_->data = this;
    status = uv_udp_bind(handle_, reinterpret_cast<const sockaddr*>(&address.raw), 0);
    if (status == 0)
        status = uv_udp_recv_start(
            handle_, use_receive_buffer,
            [](uv_udp_t* socket, ssize_t length, const uv_buf_t* buffer, const sockaddr* from, unsigned) {
                if (socket->data != nullptr)
                    static_cast<UdpSocket*>(socket->data)->on_received(length, *buffer, from);
            });
    if (status != 0) {
        close_and_delete(handle_);
        throw SocketError("cannot bind UDP socket", uv_strerror(status));
    }
}

UdpSocket::~UdpSocket() {
    handle_->data = nullptr;
    close_and_delete(handle_);
}

void UdpSocket::on_received(ssize_t length, const uv_buf_t& buffer, const sockaddr* from) {
    // Without an address, there is nothing more to read. A negative length is the error of an earlier send.
    if (length < 0 || from == nullptr)
        return;
    Address sender;
    std::memcpy(&sender.raw, from, from->sa_family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in));
    on_receive_({buffer.base, static_cast<std::size_t>(length)}, sender);
}

int UdpSocket::port() const {
    sockaddr_storage name{};
    int length = sizeof name;
    if (uv_udp_getsockname(handle_, reinterpret_cast<sockaddr*>(&name), &length) != 0)
        return 0;
    if (name.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6&>(name).sin6_port);
    return ntohs(reinterpret_cast<const sockaddr_in&>(name).sin_port);
}

bool UdpSocket::send(const Address& to, std::string_view bytes) {
    const uv_buf_t buffer = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
    const int status = uv_udp_try_send(handle_, &buffer, 1, reinterpret_cast<const sockaddr*>(&to.raw));
    if (status < 0)
        ++dropped_datagrams_;
    return status >= 0;
}

}  // namespace cressledge::net
