// TCP connections on the event loop, accepted or opened, with a bounded buffer of bytes still to be written.
//
// A stream frees itself once libuv has closed its handle. Its owner holds a plain pointer, which is valid until
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

/// One TCP connection. It holds its descriptor's lease until it is closed.
class Stream {
public:
    using Lease = connection_admission::FileDescriptorBudget::Lease;

    /// Receives the events of one stream.
    class Owner {
    public:
        virtual ~Owner() = default;

        /// A connection that was opened with connect() is established.
        virtual void on_open() {}

        /// Bytes have been read. They are valid during the call only.
        virtual void on_bytes(std::string_view bytes) = 0;

        /// The peer has sent its last byte. Return true to keep the stream: the peer may still read a response, which
        /// shut_down_writes() ends. Otherwise on_end() follows.
        virtual bool on_eof() { return false; }

        /// The peer closed the connection, it broke, or it was never established (`refused`). The stream must not be
        /// used any more.
        virtual void on_end(bool refused) = 0;
    };

    /// Opens a connection. Returns null on failure and stores libuv's error code in `error`, if given; see
    /// is_descriptor_exhaustion().
    static Stream* connect(uv_loop_t* loop, const Address& address, Owner& owner, Lease lease = {},
                           int* error = nullptr);

    /// Accepts a connection from the listener's backlog. Fails like connect().
    static Stream* accept(Listener& listener, Owner& owner, Lease lease = {}, int* error = nullptr);

    /// Later events go to `owner`.
    void set_owner(Owner& owner) { owner_ = &owner; }

    /// The peer's address; all zero if the peer has gone.
    Address peer_address() const;

    /// Queues bytes for writing. Returns false when the peer has let too much pile up, or the stream is closing: the
    /// caller must close it.
    bool write(std::string_view bytes);

    /// Writes what is queued, then sends the end of the stream. Reading goes on.
    void shut_down_writes();

    /// Whether the system has not taken all written bytes yet.
    bool has_unwritten_bytes() const { return unwritten_bytes_ > 0; }

    /// Delivers what has arrived now instead of on the loop's next turn. To be called before a connection is closed:
    /// bytes that are already here were sent before the peer could know of it. The owner may close the stream
    /// meanwhile.
    void read_pending();

    /// Closes at once. The owner gets no further event.
    void close();

    /// Stops reading, or takes it up again.
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
};

}  // namespace cressledge::net
