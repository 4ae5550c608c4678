/// One connection of a full exchange: one frame each way. Reads and writes; what the frames say is decided by its
/// handler.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "net/stream.hpp"

namespace cressledge::gossip {

/// Who opened the connection. The one that did sends the first frame; the other answers and ends the connection.
enum class ExchangeDirection : std::uint8_t { outbound, inbound };

/// Owns its stream and its deadline until it is destroyed.
class ExchangeConnection final : public net::Stream::Owner {
public:
    using Lease = connection_admission::FileDescriptorBudget::Lease;

    /// Hears of the connection. Each call but `on_exchange_open` may destroy it.
    class Handler {
    public:
        virtual ~Handler() = default;
        /// An outbound connection is there.
        virtual void on_exchange_open(ExchangeConnection& connection) = 0;
        /// The other side's whole frame, without its header.
        virtual void on_exchange_frame(ExchangeConnection& connection, std::string_view body) = 0;
        /// The frame is longer than allowed, or longer than its header says.
        virtual void on_exchange_oversized(ExchangeConnection& connection) = 0;
        /// The connection has ended, or never came about.
        virtual void on_exchange_end(ExchangeConnection& connection) = 0;
    };

    /// `handler` is told of the frame and of the end; `timers` holds the deadline.
    ExchangeConnection(Handler& handler, base::TimerQueue& timers, ExchangeDirection direction)
        : handler_(handler), timers_(timers), direction_(direction) {}
    ~ExchangeConnection() override;
    ExchangeConnection(const ExchangeConnection&) = delete;
    ExchangeConnection& operator=(const ExchangeConnection&) = delete;

    /// False if there is no connection; the lease has been given back then.
    bool connect(uv_loop_t* loop, const net::Address& address, Lease lease);
    /// Accepts a connection of another member. False if there is none; the lease has been given back then.
    bool accept(net::Listener& listener, Lease lease);

    /// Calls `on_expired` at this time, unless the connection is destroyed before.
    void set_deadline(base::Timestamp time, std::function<void()> on_expired);

    /// The second of the two frames is the last thing that is written.
    void send_frame(const std::string& frame);

    /// The id under which the exchange manager keeps this connection.
    base::SlotId id() const { return id_; }
    /// Set by the exchange manager once the connection has a slot.
    void set_id(base::SlotId id) { id_ = id; }
    /// Whether this side opened the connection or accepted it.
    ExchangeDirection direction() const { return direction_; }
    /// Whether this side opened the connection.
    bool is_outbound() const { return direction_ == ExchangeDirection::outbound; }

    /// Whether the other side's whole frame has come.
    bool has_received_frame() const { return has_received_frame_; }

    /// net::Stream::Owner: the connection is established; the handler is told.
    void on_open() override;
    /// net::Stream::Owner: gathers the bytes of the other side's frame.
    void on_bytes(std::string_view bytes) override;
    /// net::Stream::Owner: the stream is over, or was `refused`; the handler is told.
    void on_end(bool refused) override;

private:
    Handler& handler_;
    base::TimerQueue& timers_;
    const ExchangeDirection direction_;
    base::SlotId id_ = 0;
    net::Stream* stream_ = nullptr;
    base::TimerHandle deadline_;
    std::string received_;
    bool has_received_frame_ = false;
};

}  // namespace cressledge::gossip
