#include "net/listener.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <string>
#include <utility>

#include "net/socket_error.hpp"

namespace cressledge::net {
namespace {

constexpr int listen_backlog = 511;

std::optional<int> parse_descriptor(const char* text) {
    int fd = -1;
    const char* end = text + std::strlen(text);
    const auto [stop, error] = std::from_chars(text, end, fd);
    if (error != std::errc() || stop != end || fd < 0)
        return std::nullopt;
    return fd;
}

bool is_inet_socket(int fd) {
    sockaddr_storage name{};
    socklen_t length = sizeof name;
    if (::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &length) != 0)
        return false;
    return name.ss_family == AF_INET || name.ss_family == AF_INET6;
}

bool is_listening(int fd) {
    int listening = 0;
    socklen_t length = sizeof listening;
    return ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &length) == 0 && listening != 0;
}

// Non-blocking: accept() must not block the event loop. Close-on-exec: child processes must not inherit the socket.
bool set_non_blocking_and_close_on_exec(int fd) {
    const int flags = ::fcntl(fd, F_GETFL);
    return flags >= 0 && ::fcntl(fd, F_SETFL, flags | O_NONBLOCK) == 0 &&
           ::fcntl(fd, F_SETFD, FD_CLOEXEC) == 0;
}

// Prepares an inherited descriptor for use. Returns null on success, otherwise the reason why it cannot be adopted.
const char* adopt_descriptor(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    if (::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) != 0)
        return errno == EBADF ? "no such descriptor" : "not a socket";
    if (type != SOCK_STREAM || !is_inet_socket(fd))
        return "not a TCP socket";
    if (!is_listening(fd))
        return "not listening";
    return set_non_blocking_and_close_on_exec(fd) ? nullptr : std::strerror(errno);
}

}  // namespace

int inherited_listening_socket(const char* variable) {
    const char* text = std::getenv(variable);
    if (text == nullptr)
        return -1;
    const std::string setting = std::string(variable) + "=" + text;
    const std::optional<int> fd = parse_descriptor(text);
    if (!fd)
        throw SocketError(setting, "not a descriptor number");
    if (const char* reason = adopt_descriptor(*fd); reason != nullptr)
        throw SocketError(setting, reason);
    return *fd;
}

int open_listening_socket(const Address& address) {
    const int family = address.raw.ss_family;
    const int reuse = 1;
    const socklen_t length = family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
    const int fd = ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse) != 0 ||
        ::bind(fd, reinterpret_cast<const sockaddr*>(&address.raw), length) != 0 ||
        ::listen(fd, listen_backlog) != 0) {
        const std::string reason = uv_strerror(uv_translate_sys_error(errno));
        if (fd >= 0)
            ::close(fd);
        throw SocketError("cannot open listening socket", reason);
    }
    return fd;
}

int local_port(int socket) {
    sockaddr_storage name{};
    socklen_t length = sizeof name;
    if (::getsockname(socket, reinterpret_cast<sockaddr*>(&name), &length) != 0)
        return 0;
    if (name.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6&>(name).sin6_port);
    return ntohs(reinterpret_cast<const sockaddr_in&>(name).sin_port);
}

Listener::Listener(uv_loop_t* loop, const Address& address, std::function<void()> on_connection)
    : Listener(loop, ListenEndpoint{address, -1}, std::move(on_connection)) {}

Listener::Listener(uv_loop_t* loop, const ListenEndpoint& endpoint, std::function<void()> on_connection)
    : fd_(endpoint.inherited_fd >= 0 ? endpoint.inherited_fd : open_listening_socket(endpoint.address)),
      on_connection_(std::move(on_connection)) {
    poll_ = new uv_poll_t;
    uv_poll_init(loop, poll_, fd_);
    poll_->data = this;
    start_polling();
}

Listener::~Listener() {
    close();
}

void Listener::start_polling() {
    uv_poll_start(poll_, UV_READABLE, [](uv_poll_t* poll, int, int) {
        if (poll->data != nullptr)
            static_cast<Listener*>(poll->data)->on_connection_();
    });
}

void Listener::set_paused(bool paused) {
    if (poll_ == nullptr)
        return;
    if (paused) {
        uv_poll_stop(poll_);
    } else {
        start_polling();
    }
}

bool Listener::has_waiting_connection() const {
    pollfd listening{fd_, POLLIN, 0};
    return fd_ >= 0 && ::poll(&listening, 1, 0) > 0;
}

void Listener::close() {
    if (poll_ == nullptr)
        return;
    poll_->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(poll_, nullptr)),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_poll_t*>(handle); });
    ::close(std::exchange(fd_, -1));
}

int Listener::port() const {
    return fd_ < 0 ? 0 : local_port(fd_);
}

}  // namespace cressledge::net
