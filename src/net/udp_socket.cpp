#include "net/udp_socket.hpp"

#include <array>
#include <stdexcept>
#include <string>

namespace cressledge::net {
namespace {

// One datagram of any size: guards against one that would be cut and taken for a shorter one.
std::array<char, 65'536> receive_buffer;

}  // namespace

UdpSocket::UdpSocket(uv_loop_t* loop, const Address& address, ReceiveHandler told)
    : handle_(new uv_udp_t), on_receive_(std::move(told)) {
    int bad = uv_udp_init(loop, handle_);
    if (bad != 0) {
        delete handle_;
        throw std::runtime_error(std::string("no datagram socket: ") + uv_strerror(bad));
    }
    handle_->data = this;
    bad = uv_udp_bind(handle_, reinterpret_cast<const sockaddr*>(&address.raw), 0);
    if (bad == 0)
        bad = uv_udp_recv_start(
            handle_,
            [](uv_handle_t*, std::size_t, uv_buf_t* b) {
                *b = uv_buf_init(receive_buffer.data(), static_cast<unsigned>(receive_buffer.size()));
            },
            [](uv_udp_t* u, ssize_t n, const uv_buf_t* b, const sockaddr* from, unsigned) {
                if (n < 0 || from == nullptr || u->data == nullptr)
                    return;  // nothing more, or an error of the peer's
                Address a;
                std::memcpy(&a.raw, from,
                            from->sa_family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in));
                static_cast<UdpSocket*>(u->data)->on_receive_({b->base, static_cast<std::size_t>(n)}, a);
            });
    if (bad == 0)
        return;
    uv_close(reinterpret_cast<uv_handle_t*>(handle_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_udp_t*>(h); });
    throw std::runtime_error(std::string("cannot take datagrams: ") + uv_strerror(bad));
}

UdpSocket::~UdpSocket() {
    handle_->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(handle_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_udp_t*>(h); });
}

int UdpSocket::port() const {
    sockaddr_storage name{};
    int length = sizeof name;
    if (uv_udp_getsockname(handle_, reinterpret_cast<sockaddr*>(&name), &length) != 0)
        return 0;
    return ntohs(name.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&name)->sin6_port
                                            : reinterpret_cast<sockaddr_in*>(&name)->sin_port);
}

bool UdpSocket::send(const Address& to, std::string_view bytes) {
    const uv_buf_t b = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
    const bool sent = uv_udp_try_send(handle_, &b, 1, reinterpret_cast<const sockaddr*>(&to.raw)) >= 0;
    dropped_datagrams_ += sent ? 0 : 1;
    return sent;
}

}  // namespace cressledge::net
