// A connection to one peer of the platform that can be reopened with exponential backoff.
#pragma once

#include "base/timer_queue.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::platform {

/// Base class of the links to the engine and the directory. Derived classes handle the stream's events; when the stream
/// ends, they call clear_stream() and decide when to reconnect.
class ReconnectingLink : public net::Stream::Owner {
public:
    /// `address` is the peer's address. Each connection holds a lease of `descriptors`.
    ReconnectingLink(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                     connection_admission::FileDescriptorBudget& descriptors);
    ~ReconnectingLink() override;
    ReconnectingLink(const ReconnectingLink&) = delete;
    ReconnectingLink& operator=(const ReconnectingLink&) = delete;

protected:
    /// Opens a connection unless there is one. stream() stays null if this fails, for example for lack of a descriptor.
    void try_connect();

    /// Connects after the backoff, and retries until a connection attempt could be started.
    void schedule_reconnect();

    /// Resets the backoff to its minimum. Call it once the peer has proved to work.
    void reset_backoff() { backoff_ = base::Duration(0); }

    /// Closes the connection, established or not.
    void disconnect();

    /// Uses `address` for later connections. Returns whether it differs from the previous address.
    bool change_address(const net::Address& address);

    net::Loop& loop() const { return loop_; }
    base::TimerQueue& timers() const { return timers_; }
    /// The connection, established or not; null if there is none.
    net::Stream* stream() const { return stream_; }
    /// Clears the pointer to a stream that has ended. Call it from on_end().
    void clear_stream() { stream_ = nullptr; }

private:
    net::Loop& loop_;
    base::TimerQueue& timers_;
    net::Address address_;
    net::Stream* stream_ = nullptr;
    connection_admission::FileDescriptorBudget& descriptors_;
    base::TimerHandle reconnect_timer_;
    base::Duration backoff_{0};
};

}  // namespace cressledge::platform
