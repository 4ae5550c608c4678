/// Manages the full exchanges with other processes: opens and accepts connections, limits their number and duration,
/// and merges the received state into the membership table.
///
/// An exchange consists of one frame (frame.hpp) in each direction. The process that connects sends first; the other
/// process replies and closes the connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <pcg_random.hpp>
#include <string>
#include <string_view>

#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "gossip/exchange_connection.hpp"
#include "gossip/gossip_statistics.hpp"
#include "membership/membership_table.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::gossip {

/// Dependencies of an exchange manager. All must outlive it.
struct ExchangeEnvironment {
    net::Loop& loop;
    base::TimerQueue& timers;
    connection_admission::FileDescriptorBudget& descriptors;
    net::Listener& listener;
    membership::MembershipTable& membership;
    GossipStatistics& statistics;
};

/// Owns the connections of full exchanges. Ends each one when its exchange is complete or has timed out.
class ExchangeManager final : private ExchangeConnection::Handler {
public:
    /// Maximum number of concurrent exchanges in each direction.
    static constexpr std::size_t max_exchanges_per_direction = 8;
    /// Maximum frame size. Fits into the bounded write buffer of a stream. Of a larger table a random range is sent.
    static constexpr std::size_t max_frame_bytes = 200U << 10U;
    /// Time limit of an exchange.
    static constexpr base::Duration exchange_timeout{2'000'000};

    /// Called with the effects of a merge.
    using EffectsHandler = std::function<void(membership::Effects& effects)>;

    /// `on_effects` carries out the effects of merging a received table.
    ExchangeManager(const ExchangeEnvironment& environment, std::string fleet_name, std::uint64_t seed,
                    EffectsHandler on_effects);
    ExchangeManager(const ExchangeManager&) = delete;
    ExchangeManager& operator=(const ExchangeManager&) = delete;

    /// Starts an exchange with `peer`. Counts it as failed if the limit is reached or no descriptor is available.
    void start(const membership::Endpoint& peer);

    /// Accepts pending connections up to the limit.
    void accept_pending();

private:
    using Lease = connection_admission::FileDescriptorBudget::Lease;

    void on_exchange_open(ExchangeConnection& connection) override;
    void on_exchange_frame(ExchangeConnection& connection, std::string_view body) override;
    void on_exchange_oversized(ExchangeConnection& connection) override;
    void on_exchange_end(ExchangeConnection& connection) override;

    ExchangeConnection& add_connection(ExchangeDirection direction);
    void set_deadline(ExchangeConnection& connection);
    void send_state(ExchangeConnection& connection, membership::MessageType type);
    std::string make_frame(membership::MessageType type);
    void retry_accept_later();
    void fail(ExchangeConnection& connection, membership::DropReason reason);
    void end(base::SlotId id);
    std::size_t& open_count(ExchangeDirection direction);

    ExchangeEnvironment environment_;
    const std::string fleet_name_;
    EffectsHandler on_effects_;
    pcg32 random_;
    base::TimerHandle accept_retry_timer_;
    std::size_t outbound_count_ = 0;
    std::size_t inbound_count_ = 0;
    base::SlotMap<ExchangeConnection> connections_;
};

}  // namespace cressledge::gossip
