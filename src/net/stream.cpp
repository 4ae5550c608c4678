#include "net/stream.hpp"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <stdexcept>

namespace cressledge::net {

std::optional<Address> Address::parse(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    const bool six = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (six)
        host = host.substr(1, host.size() - 2);
    unsigned port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc() || stop != end || port > 65535)
        return std::nullopt;
    Address a;
    const int bad =
        six ? uv_ip6_addr(host.c_str(), static_cast<int>(port), reinterpret_cast<sockaddr_in6*>(&a.raw))
            : uv_ip4_addr(host.c_str(), static_cast<int>(port), reinterpret_cast<sockaddr_in*>(&a.raw));
    if (bad != 0)
        return std::nullopt;
    return a;
}

connection_admission::IpAddress Address::ip() const {
    if (raw.ss_family != AF_INET6)
        return connection_admission::IpAddress::from_v4(
            ntohl(reinterpret_cast<const sockaddr_in*>(&raw)->sin_addr.s_addr));
    std::array<unsigned char, 16> bytes{};
    std::memcpy(bytes.data(), &reinterpret_cast<const sockaddr_in6*>(&raw)->sin6_addr, bytes.size());
    return connection_admission::IpAddress::from_v6(bytes);
}

Stream* Stream::connect(uv_loop_t* loop, const Address& address, Owner& owner,
                        connection_admission::FileDescriptorBudget::Lease lease, int* why) {
    auto* s = new Stream(owner, std::move(lease));
    uv_tcp_init(loop, &s->tcp_);
    s->tcp_.data = s;
    s->connect_.data = s;
    const int bad = uv_tcp_connect(&s->connect_, &s->tcp_, reinterpret_cast<const sockaddr*>(&address.raw),
                                   [](uv_connect_t* c, int status) {
                                       auto* self = static_cast<Stream*>(c->data);
                                       if (self->closing_)
                                           return;
                                       if (status != 0)
                                           return self->close_and_notify(true);
                                       self->connected_ = true;
                                       self->start_reading();
                                       if (self->owner_ != nullptr)
                                           self->owner_->on_open();
                                   });
    if (why != nullptr)
        *why = bad;
    if (bad != 0) {  // no descriptor left, for one
        s->close();
        return nullptr;
    }
    return s;
}

Stream* Stream::accept(Listener& listener, Owner& owner,
                       connection_admission::FileDescriptorBudget::Lease lease, int* why) {
    const int fd = ::accept4(listener.fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (why != nullptr)
        *why = fd < 0 ? uv_translate_sys_error(errno) : 0;
    if (fd < 0)
        return nullptr;
    auto* s = new Stream(owner, std::move(lease));
    uv_tcp_init(listener.poll_->loop, &s->tcp_);
    s->tcp_.data = s;
    if (const int bad = uv_tcp_open(&s->tcp_, fd); bad != 0) {
        ::close(fd);
        if (why != nullptr)
            *why = bad;
        s->close();
        return nullptr;
    }
    s->connected_ = true;
    s->start_reading();
    return s;
}

Address Stream::peer_address() const {
    Address a;
    int length = sizeof a.raw;
    if (uv_tcp_getpeername(&tcp_, reinterpret_cast<sockaddr*>(&a.raw), &length) != 0)
        a = {};
    return a;
}

void Stream::start_reading() {
    uv_tcp_nodelay(&tcp_, 1);
    set_reading_paused(false);
}

void Stream::set_reading_paused(bool on) {
    if (closing_ || !connected_)
        return;
    reading_paused_ = on;
    auto* stream = reinterpret_cast<uv_stream_t*>(&tcp_);
    if (on) {
        uv_read_stop(stream);
        return;
    }
    uv_read_start(
        stream,
        [](uv_handle_t*, std::size_t, uv_buf_t* buf) {
            // What is read is handed over before the next read, on one thread: one buffer serves all.
            static char shared[64U << 10U];
            *buf = uv_buf_init(shared, sizeof shared);
        },
        [](uv_stream_t* st, ssize_t n, const uv_buf_t* buf) {
            auto* self = static_cast<Stream*>(st->data);
            if (self->closing_ || n == 0)
                return;
            if (n == UV_EOF && self->owner_ != nullptr && self->owner_->on_eof()) {
                uv_read_stop(st);
                return;
            }
            if (n < 0)
                return self->close_and_notify(false);
            self->deliver({buf->base, static_cast<std::size_t>(n)});
        });
}

void Stream::deliver(std::string_view bytes) {
    if (owner_ != nullptr)
        owner_->on_bytes(bytes);
}

void Stream::read_pending() {
    uv_os_fd_t fd = -1;
    if (closing_ || !connected_ || uv_fileno(reinterpret_cast<uv_handle_t*>(&tcp_), &fd) != 0)
        return;
    // An end or an error stays where it is for the loop to find. Bounded: a peer that sends on and on is not waited for.
    std::array<char, 16U << 10U> bytes;
    for (int turns = 0; turns < 4 && !closing_ && !reading_paused_; ++turns) {
        const ssize_t n = ::read(fd, bytes.data(), bytes.size());
        if (n <= 0)
            return;
        deliver({bytes.data(), static_cast<std::size_t>(n)});
    }
}

bool Stream::write(std::string_view bytes) {
    if (closing_ || shutdown_requested_ || !connected_)
        return false;
    auto* stream = reinterpret_cast<uv_stream_t*>(&tcp_);
    if (unwritten_bytes_ == 0) {
        const uv_buf_t now =
            uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
        const int n = uv_try_write(stream, &now, 1);
        if (n > 0)
            bytes.remove_prefix(static_cast<std::size_t>(n));
        if (n < 0 && n != UV_EAGAIN)
            return true;  // broken: the reading side tells, in its turn
    }
    if (bytes.empty())
        return true;
    if (unwritten_bytes_ + bytes.size() > max_unwritten_bytes)
        return false;
    struct Write {
        uv_write_t request{};
        std::string bytes;
    };
    auto* w = new Write{{}, std::string(bytes)};
    w->request.data = this;
    unwritten_bytes_ += w->bytes.size();
    const uv_buf_t later = uv_buf_init(w->bytes.data(), static_cast<unsigned>(w->bytes.size()));
    const int bad = uv_write(&w->request, stream, &later, 1, [](uv_write_t* r, int) {
        auto* self = static_cast<Stream*>(r->data);
        auto* done = reinterpret_cast<Write*>(r);
        self->unwritten_bytes_ -= done->bytes.size();
        delete done;
        if (self->shutdown_requested_ && self->unwritten_bytes_ == 0)
            self->send_shutdown();
    });
    if (bad != 0) {
        unwritten_bytes_ -= w->bytes.size();
        delete w;
        return false;
    }
    return true;
}

void Stream::shut_down_writes() {
    if (closing_ || shutdown_requested_)
        return;
    shutdown_requested_ = true;
    if (unwritten_bytes_ == 0)
        send_shutdown();
}

void Stream::send_shutdown() {
    if (closing_ || shutdown_sent_)
        return;
    shutdown_sent_ = true;
    uv_shutdown(&shutdown_, reinterpret_cast<uv_stream_t*>(&tcp_), [](uv_shutdown_t*, int) {});
}

void Stream::close_and_notify(bool refused) {
    Owner* owner = owner_;
    close();
    if (owner != nullptr)
        owner->on_end(refused);
}

void Stream::close() {
    owner_ = nullptr;
    if (closing_)
        return;
    closing_ = true;
    // libuv closes the descriptor of a TCP handle here; only the memory lasts until the callback.
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp_),
             [](uv_handle_t* h) { delete static_cast<Stream*>(h->data); });
    lease_.release();
}

std::size_t descriptor_limit() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > 1'000'000)
        return 1'000'000;
    return static_cast<std::size_t>(limit.rlim_cur);
}

std::size_t count_open_descriptors() {
    std::error_code bad;
    std::size_t n = 0;
    for (std::filesystem::directory_iterator at("/proc/self/fd", bad), end; !bad && at != end;
         at.increment(bad))
        ++n;
    return n > 0 ? n - 1 : 0;  // the one that reads the list
}

int inherited_listening_socket(const char* variable) {
    const char* text = std::getenv(variable);
    if (text == nullptr)
        return -1;
    const auto refuse = [&](const std::string& why) {
        throw std::runtime_error(std::string(variable) + "=" + text + ": " + why);
    };
    int fd = -1;
    const char* end = text + std::strlen(text);
    if (const auto [stop, error] = std::from_chars(text, end, fd);
        error != std::errc() || stop != end || fd < 0)
        refuse("not a descriptor number");
    int type = 0, listening = 0;
    sockaddr_storage name{};
    socklen_t length = sizeof type, listening_length = sizeof listening, name_length = sizeof name;
    if (::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) != 0)
        refuse(errno == EBADF ? "no such descriptor" : "not a socket");
    if (type != SOCK_STREAM || ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &name_length) != 0 ||
        (name.ss_family != AF_INET && name.ss_family != AF_INET6))
        refuse("not a TCP socket");
    if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &listening_length) != 0 || listening == 0)
        refuse("not listening");
    // Guards the loop against an accept that blocks, and a program started from here against the socket.
    const int flags = ::fcntl(fd, F_GETFL);
    if (flags < 0 || ::fcntl(fd, F_SETFL, flags | O_NONBLOCK) != 0 || ::fcntl(fd, F_SETFD, FD_CLOEXEC) != 0)
        refuse(std::strerror(errno));
    return fd;
}

int open_listening_socket(const Address& address) {
    const int on = 1, family = address.raw.ss_family;
    const socklen_t length = family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
    const int fd = ::socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        ::bind(fd, reinterpret_cast<const sockaddr*>(&address.raw), length) != 0 || ::listen(fd, 511) != 0) {
        const std::string why = uv_strerror(uv_translate_sys_error(errno));
        if (fd >= 0)
            ::close(fd);
        throw std::runtime_error("cannot listen: " + why);
    }
    return fd;
}

int local_port(int socket) {
    sockaddr_storage name{};
    socklen_t length = sizeof name;
    if (getsockname(socket, reinterpret_cast<sockaddr*>(&name), &length) != 0)
        return 0;
    const auto port = name.ss_family == AF_INET6 ? reinterpret_cast<const sockaddr_in6&>(name).sin6_port
                                                 : reinterpret_cast<const sockaddr_in&>(name).sin_port;
    return ntohs(port);
}

Listener::Listener(uv_loop_t* loop, const Address& address, std::function<void()> ready)
    : Listener(loop, ListenEndpoint{address, -1}, std::move(ready)) {}
Listener::Listener(uv_loop_t* loop, const ListenEndpoint& where, std::function<void()> ready)
    : fd_(where.inherited_fd >= 0 ? where.inherited_fd : open_listening_socket(where.address)),
      on_connection_(std::move(ready)) {
    poll_ = new uv_poll_t;
    uv_poll_init(loop, poll_, fd_);
    poll_->data = this;
    start_polling();
}
Listener::~Listener() {
    close();
}
void Listener::start_polling() {
    uv_poll_start(poll_, UV_READABLE, [](uv_poll_t* p, int, int) {
        if (p->data != nullptr)
            static_cast<Listener*>(p->data)->on_connection_();
    });
}
void Listener::set_paused(bool on) {
    if (poll_ == nullptr)
        return;
    if (on) {
        uv_poll_stop(poll_);
    } else {
        start_polling();
    }
}
void Listener::close() {
    if (poll_ == nullptr)
        return;
    poll_->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(poll_, nullptr)),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_poll_t*>(h); });
    ::close(std::exchange(fd_, -1));
}
int Listener::port() const {
    return fd_ < 0 ? 0 : local_port(fd_);
}

}  // namespace cressledge::net
