/// The connection of one full exchange, which carries one frame in each direction. The handler interprets the frames.
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

/// Which side opened the connection. `outbound` means that this process did. The side that opened the connection sends
/// the first frame; the other side replies and closes the connection.
enum class ExchangeDirection : std::uint8_t { outbound, inbound };

/// Owns the stream and the deadline of one exchange.
class ExchangeConnection final : public net::Stream::Owner {
public:
    using Lease = connection_admission::FileDescriptorBudget::Lease;

    /// Handles the events of a connection. Each function except `on_exchange_open` may destroy the connection.
    class Handler {
    public:
        virtual ~Handler() = default;
        /// An outbound connection is established.
        virtual void on_exchange_open(ExchangeConnection& connection) = 0;
        /// The peer's frame was received. `body` is the frame without its header.
        virtual void on_exchange_frame(ExchangeConnection& connection, std::string_view body) = 0;
        /// The received frame is longer than the allowed maximum, or longer than its header states.
        virtual void on_exchange_oversized(ExchangeConnection& connection) = 0;
        /// The connection has ended or could not be established.
        virtual void on_exchange_end(ExchangeConnection& connection) = 0;
    };

    /// `handler` receives the events, and `timers` holds the deadline. Both must outlive the connection.
    ExchangeConnection(Handler& handler, base::TimerQueue& timers, ExchangeDirection direction)
        : handler_(handler), timers_(timers), direction_(direction) {}
    ~ExchangeConnection() override;
    ExchangeConnection(const ExchangeConnection&) = delete;
    ExchangeConnection& operator=(const ExchangeConnection&) = delete;

    /// Starts connecting to a peer. Returns false on failure; the lease has then been released.
    bool connect(uv_loop_t* loop, const net::Address& address, Lease lease);
    /// Accepts a connection from a peer. Returns false if none is pending; the lease has then been released.
    bool accept(net::Listener& listener, Lease lease);

    /// Calls `on_expired` at `deadline` unless the connection is destroyed earlier.
    void set_deadline(base::Timestamp deadline, std::function<void()> on_expired);

    /// Sends this side's frame. On an inbound connection the frame is the reply, and writing is shut down after it.
    void send_frame(const std::string& frame);

    /// Slot id of this connection in the exchange manager.
    base::SlotId id() const { return id_; }
    /// Sets the slot id. Called by the exchange manager when it has assigned a slot.
    void set_id(base::SlotId id) { id_ = id; }
    /// Returns which side opened the connection.
    ExchangeDirection direction() const { return direction_; }
    /// Returns whether this process opened the connection.
    bool is_outbound() const { return direction_ == ExchangeDirection::outbound; }

    /// Returns whether the peer's complete frame has been received.
    bool has_received_frame() const { return has_received_frame_; }

    /// net::Stream::Owner: the connection is established. Notifies the handler.
    void on_open() override;
    /// net::Stream::Owner: collects the bytes of the peer's frame, and notifies the handler when it is complete.
    void on_bytes(std::string_view bytes) override;
    /// net::Stream::Owner: the stream has ended, or the connection was `refused`. Notifies the handler.
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
