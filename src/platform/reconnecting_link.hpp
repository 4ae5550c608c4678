// A connection to one peer of the platform that is opened again, with exponential backoff, for as long as it is wanted.
#pragma once

#include "base/timer_queue.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::platform {

/// Base of the links to engine and directory. Derived classes handle the stream's events; when one ends, they call
/// forget_stream() and decide when to connect again.
class ReconnectingLink : public net::Stream::Owner {
public:
    /// `address`: the peer's; each connection takes a descriptor lease of `descriptors`.
    ReconnectingLink(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                     connection_admission::FileDescriptorBudget& descriptors);
    ~ReconnectingLink() override;
    ReconnectingLink(const ReconnectingLink&) = delete;
    ReconnectingLink& operator=(const ReconnectingLink&) = delete;

protected:
    /// Opens the connection unless there is one. stream() stays null when there is no descriptor for it.
    void try_connect();

    /// Connects after the backoff, and again until a connection is under way.
    void schedule_reconnect();

    /// The next backoff is the shortest again. To be called once the peer has proved to work.
    void reset_backoff() { backoff_ = base::Duration(0); }

    /// Closes the connection, established or not.
    void disconnect();

    /// Connects to `address` from the next connection on. Returns whether it is another than before.
    bool change_address(const net::Address& address);

    net::Loop& loop() const { return loop_; }
    base::TimerQueue& timers() const { return timers_; }
    /// The connection, established or not; null: none.
    net::Stream* stream() const { return stream_; }
    /// To be called once the stream has ended.
    void forget_stream() { stream_ = nullptr; }

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
