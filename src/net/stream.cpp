#include "net/stream.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <utility>

namespace cressledge::net {
namespace {

constexpr std::size_t read_buffer_bytes = 64U << 10U;
constexpr std::size_t pending_buffer_bytes = 16U << 10U;
// A peer that never stops sending must not keep read_pending() busy.
constexpr int max_pending_reads = 4;

// Bytes are delivered before the next read, on a single thread, so all streams share one buffer.
void use_shared_read_buffer(uv_handle_t*, std::size_t, uv_buf_t* buffer) {
    static char shared[read_buffer_bytes];
    *buffer = uv_buf_init(shared, sizeof shared);
}

// The const_cast is safe: libuv does not modify a buffer that it writes.
uv_buf_t to_buffer(std::string_view bytes) {
    return uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
}

void store_error(int* error, int value) {
    if (error != nullptr)
        *error = value;
}

}  // namespace

Stream::Stream(uv_loop_t* loop, Owner& owner, Lease lease) : owner_(&owner), lease_(std::move(lease)) {
    uv_tcp_init(loop, &tcp_);
    tcp_.data = this;
    connect_.data = this;
}

Stream* Stream::connect(uv_loop_t* loop, const Address& address, Owner& owner, Lease lease, int* error) {
    auto* stream = new Stream(loop, owner, std::move(lease));
    const int status = uv_tcp_connect(
        &stream->connect_, &stream->tcp_, reinterpret_cast<const sockaddr*>(&address.raw),
        [](uv_connect_t* request, int result) { static_cast<Stream*>(request->data)->on_connected(result); });
    store_error(error, status);
    if (status != 0) {
        stream->close();
        return nullptr;
    }
    return stream;
}

Stream* Stream::accept(Listener& listener, Owner& owner, Lease lease, int* error) {
    const int fd = ::accept4(listener.fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    store_error(error, fd < 0 ? uv_translate_sys_error(errno) : 0);
    if (fd < 0)
        return nullptr;
    auto* stream = new Stream(listener.poll_->loop, owner, std::move(lease));
    if (const int status = uv_tcp_open(&stream->tcp_, fd); status != 0) {
        ::close(fd);
        store_error(error, status);
        stream->close();
        return nullptr;
    }
    stream->state_ = State::open;
    stream->start_reading();
    return stream;
}

void Stream::on_connected(int status) {
    if (state_ == State::closing)
        return;
    if (status != 0)
        return close_and_notify(true);
    state_ = State::open;
    start_reading();
    if (owner_ != nullptr)
        owner_->on_open();
}

Address Stream::peer_address() const {
    Address address;
    int length = sizeof address.raw;
    if (uv_tcp_getpeername(&tcp_, reinterpret_cast<sockaddr*>(&address.raw), &length) != 0)
        address = {};
    return address;
}

void Stream::start_reading() {
    uv_tcp_nodelay(&tcp_, 1);
    set_reading_paused(false);
}

void Stream::set_reading_paused(bool paused) {
    if (state_ != State::open)
        return;
    reading_paused_ = paused;
    if (paused) {
        uv_read_stop(handle());
        return;
    }
    uv_read_start(handle(), use_shared_read_buffer,
                  [](uv_stream_t* stream, ssize_t length, const uv_buf_t* buffer) {
                      static_cast<Stream*>(stream->data)->on_read(length, *buffer);
                  });
}

void Stream::on_read(ssize_t length, const uv_buf_t& buffer) {
    if (state_ == State::closing || length == 0)
        return;
    if (length == UV_EOF && owner_ != nullptr && owner_->on_eof()) {
        uv_read_stop(handle());
        return;
    }
    if (length < 0)
        return close_and_notify(false);
    deliver({buffer.base, static_cast<std::size_t>(length)});
}

void Stream::deliver(std::string_view bytes) {
    if (owner_ != nullptr)
        owner_->on_bytes(bytes);
}

void Stream::read_pending() {
    uv_os_fd_t fd = -1;
    if (state_ != State::open || uv_fileno(reinterpret_cast<uv_handle_t*>(&tcp_), &fd) != 0)
        return;
    std::array<char, pending_buffer_bytes> bytes;
    for (int reads = 0; reads < max_pending_reads; ++reads) {
        if (state_ == State::closing || reading_paused_)
            return;
        const ssize_t length = ::read(fd, bytes.data(), bytes.size());
        // The event loop detects an end of stream or an error again and reports it.
        if (length <= 0)
            return;
        deliver({bytes.data(), static_cast<std::size_t>(length)});
    }
}

bool Stream::has_peer_closed() const {
    uv_os_fd_t fd = -1;
    if (has_write_failed_ || uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) != 0)
        return true;
    int socket_error = 0;
    socklen_t size = sizeof socket_error;
    if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &socket_error, &size) == 0 && socket_error != 0)
        return true;
    tcp_info info{};
    size = sizeof info;
    return ::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state == TCP_CLOSE_WAIT;
}

bool Stream::write(std::string_view bytes) {
    if (state_ != State::open || write_side_ != WriteSide::open)
        return false;
    if (unwritten_bytes_ == 0) {
        const uv_buf_t buffer = to_buffer(bytes);
        const int written = uv_try_write(handle(), &buffer, 1);
        // The read side reports a broken connection later.
        if (written < 0 && written != UV_EAGAIN) {
            has_write_failed_ = true;
            return true;
        }
        if (written > 0)
            bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return bytes.empty() || queue_write(bytes);
}

bool Stream::queue_write(std::string_view bytes) {
    if (unwritten_bytes_ + bytes.size() > max_unwritten_bytes)
        return false;
    struct Write {
        uv_write_t request{};
        std::string bytes;
    };
    auto* write = new Write{{}, std::string(bytes)};
    write->request.data = this;
    unwritten_bytes_ += write->bytes.size();
    const uv_buf_t buffer = to_buffer(write->bytes);
    const int status = uv_write(&write->request, handle(), &buffer, 1, [](uv_write_t* request, int) {
        auto* done = reinterpret_cast<Write*>(request);
        const std::size_t length = done->bytes.size();
        auto* stream = static_cast<Stream*>(request->data);
        delete done;
        stream->on_written(length);
    });
    if (status != 0) {
        unwritten_bytes_ -= write->bytes.size();
        delete write;
        return false;
    }
    return true;
}

void Stream::on_written(std::size_t length) {
    unwritten_bytes_ -= length;
    if (write_side_ == WriteSide::shutdown_requested && unwritten_bytes_ == 0)
        send_shutdown();
}

void Stream::shut_down_writes() {
    if (state_ == State::closing || write_side_ != WriteSide::open)
        return;
    write_side_ = WriteSide::shutdown_requested;
    if (unwritten_bytes_ == 0)
        send_shutdown();
}

void Stream::send_shutdown() {
    if (state_ == State::closing || write_side_ == WriteSide::shutdown_sent)
        return;
    write_side_ = WriteSide::shutdown_sent;
    uv_shutdown(&shutdown_, handle(), [](uv_shutdown_t*, int) {});
}

void Stream::close_and_notify(bool refused) {
    Owner* owner = owner_;
    close();
    if (owner != nullptr)
        owner->on_end(refused);
}

void Stream::close() {
    owner_ = nullptr;
    if (state_ == State::closing)
        return;
    state_ = State::closing;
    // uv_close() closes the descriptor of a TCP handle immediately; only the memory is kept until the callback.
    uv_close(reinterpret_cast<uv_handle_t*>(&tcp_),
             [](uv_handle_t* handle) { delete static_cast<Stream*>(handle->data); });
    lease_.release();
}

}  // namespace cressledge::net
