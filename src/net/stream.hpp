// TCP connections on the event loop, accepted or opened, with a bounded write buffer.
//
// A stream deletes itself once libuv has closed its handle. Its owner holds a raw pointer, which is valid until
// Stream::close or Owner::on_end, whichever comes first.
#pragma once

#include <uv.h>

#include <cstddef>
#include <string_view>

#include "connection_admission/file_descriptor_budget.hpp"
#include "net/address.hpp"
#include "net/listener.hpp"
#include "net/process_descriptors.hpp"

namespace cressledge::net {

/// One TCP connection. Holds its file descriptor lease until it is closed.
class Stream {
public:
    using Lease = connection_admission::FileDescriptorBudget::Lease;

    /// Receives the events of one stream.
    class Owner {
    public:
        virtual ~Owner() = default;

        /// A connection opened with connect() has been established.
        virtual void on_open() {}

        /// Bytes have been read. `bytes` is valid only during the call.
        virtual void on_bytes(std::string_view bytes) = 0;

        /// The peer has shut down its write side. Return true to keep the stream open, since the peer may still read a
        /// response; end it with shut_down_writes(). Otherwise on_end() follows.
        virtual bool on_eof() { return false; }

        /// The connection was closed by the peer, broke, or could not be established (`refused`). The stream must not
        /// be used afterwards.
        virtual void on_end(bool refused) = 0;
    };

    /// Opens a connection. Returns null on failure. Stores 0 or libuv's error code in `error` unless it is null; see
    /// is_descriptor_exhaustion().
    static Stream* connect(uv_loop_t* loop, const Address& address, Owner& owner, Lease lease = {},
                           int* error = nullptr);

    /// Accepts a connection from the listener's backlog. Reports failure like connect().
    static Stream* accept(Listener& listener, Owner& owner, Lease lease = {}, int* error = nullptr);

    /// Sends later events to `owner`.
    void set_owner(Owner& owner) { owner_ = &owner; }

    /// The peer's address; all zero if the connection has already ended.
    Address peer_address() const;

    /// Writes or queues `bytes`. Returns false if the write buffer is full or the stream is not open for writing; the
    /// owner must then close it.
    bool write(std::string_view bytes);

    /// Shuts down the write side once all queued bytes have been written. Reading continues.
    void shut_down_writes();

    /// Whether the peer has shut down or reset its side, also if bytes that it sent before are still unread.
    bool has_peer_closed() const;

    /// Whether queued bytes have not been passed to the operating system yet.
    bool has_unwritten_bytes() const { return unwritten_bytes_ > 0; }

    /// Delivers bytes that have arrived immediately instead of in the next loop iteration. Call it before closing a
    /// connection: the peer sent these bytes before it could know of the close. The owner may close the stream during
    /// the call.
    void read_pending();

    /// Closes the connection immediately. The owner receives no further events.
    void close();

    /// Pauses or resumes reading.
    void set_reading_paused(bool paused);

private:
    enum class State { connecting, open, closing };
    enum class WriteSide { open, shutdown_requested, shutdown_sent };

    Stream(uv_loop_t* loop, Owner& owner, Lease lease);
    void on_connected(int status);
    void on_read(ssize_t length, const uv_buf_t& buffer);
    void on_written(std::size_t length);
    void start_reading();
    void close_and_notify(bool refused);
    void send_shutdown();
    void deliver(std::string_view bytes);
    bool queue_write(std::string_view bytes);
    uv_stream_t* handle() { return reinterpret_cast<uv_stream_t*>(&tcp_); }

    static constexpr std::size_t max_unwritten_bytes = 256U << 10U;

    Owner* owner_;
    Lease lease_;
    uv_tcp_t tcp_{};
    uv_connect_t connect_{};
    uv_shutdown_t shutdown_{};
    std::size_t unwritten_bytes_ = 0;
    State state_ = State::connecting;
    WriteSide write_side_ = WriteSide::open;
    bool reading_paused_ = false;
    /// Whether a write has met a connection that the peer has closed.
    bool has_write_failed_ = false;
};

}  // namespace cressledge::net
