/// The I/O of a membership table: datagrams and full exchanges on one address, the timer, metrics and log lines. All
/// decisions about members are made by the membership table.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/metric.hpp"
#include "base/timer_queue.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "gossip/exchange_manager.hpp"
#include "gossip/gossip_settings.hpp"
#include "gossip/gossip_statistics.hpp"
#include "gossip/member_change_log.hpp"
#include "gossip/transport.hpp"
#include "membership/membership_table.hpp"
#include "net/loop.hpp"

namespace cressledge::gossip {

/// Runs the membership protocol of this process.
class GossipNode {
public:
    /// Maximum number of concurrent exchanges in each direction.
    static constexpr std::size_t max_exchanges_per_direction = ExchangeManager::max_exchanges_per_direction;
    /// Number of file descriptors that a node needs: two sockets and the connections of exchanges.
    static constexpr std::size_t descriptors_needed = 2 + 2 * max_exchanges_per_direction;

    /// Binds the sockets and joins the fleet. Throws std::runtime_error if the address cannot be bound.
    GossipNode(net::Loop& loop, base::TimerQueue& timers,
               connection_admission::FileDescriptorBudget& descriptors, const Settings& settings,
               std::uint64_t seed);
    GossipNode(const GossipNode&) = delete;
    GossipNode& operator=(const GossipNode&) = delete;

    /// Replaces the settings and seeds without leaving the fleet.
    void reconfigure(const membership::MembershipSettings& settings,
                     const std::vector<membership::Endpoint>& seeds) {
        membership_->reconfigure(settings, seeds);
    }

    /// Starts announcing that this process leaves the fleet. See `MembershipTable::departure_announced`.
    void leave();

    /// Returns this process's membership table, for status documents and log lines.
    const membership::MembershipTable& membership() const { return *membership_; }

    /// Appends the metrics `fleet.*`.
    void append_metrics(base::Metrics& metrics);

    /// Returns a JSON document with the local member, the digest, the member counts and, unless `brief`, the members.
    std::string status_json(bool brief);

private:
    void acquire_socket_leases(base::Timestamp now);
    void on_datagram(std::string_view bytes, const net::Address& from);
    void apply(membership::Effects& effects);
    void send(const membership::OutgoingMessage& outgoing);
    void arm_timer();
    void on_timer();

    net::Loop& loop_;
    base::TimerQueue& timers_;
    connection_admission::FileDescriptorBudget& descriptors_;
    const std::string fleet_name_;
    std::vector<connection_admission::FileDescriptorBudget::Lease> socket_leases_;
    membership::MemberIndexTable member_indices_;
    GossipTransport transport_;
    std::unique_ptr<membership::MembershipTable> membership_;
    GossipStatistics statistics_;
    MemberChangeLog change_log_;
    std::unique_ptr<ExchangeManager> exchanges_;
    base::TimerHandle membership_timer_;
    base::Timestamp timer_deadline_{0};
};

}  // namespace cressledge::gossip
