/// The I/O beside a membership table: datagrams and full exchanges on one address, its timer, its metrics and its log
/// lines. It decides nothing about members.
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

/// This process as a member of its fleet.
class GossipNode {
public:
    static constexpr std::size_t max_exchanges_per_direction = ExchangeManager::max_exchanges_per_direction;
    /// The two sockets, and the connections of exchanges.
    static constexpr std::size_t descriptors_needed = 2 + 2 * max_exchanges_per_direction;

    /// Joins the fleet. Throws std::runtime_error if the address cannot be taken.
    GossipNode(net::Loop& loop, base::TimerQueue& timers,
               connection_admission::FileDescriptorBudget& descriptors, const Settings& settings,
               std::uint64_t seed);
    GossipNode(const GossipNode&) = delete;
    GossipNode& operator=(const GossipNode&) = delete;

    /// Takes new settings and seeds over without leaving the fleet.
    void reconfigure(const membership::MembershipSettings& settings,
                     const std::vector<membership::Endpoint>& seeds) {
        membership_->reconfigure(settings, seeds);
    }

    /// Begins to tell the others that this process leaves; see `MembershipTable::departure_announced`.
    void leave();

    /// This process's view of the fleet, for the admin address and the log.
    const membership::MembershipTable& membership() const { return *membership_; }

    /// Appends the metrics `fleet.*`.
    void append_metrics(base::Metrics& metrics);

    /// JSON: this process, the digest and the number of members, and unless brief the members.
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
    base::Timestamp armed_for_{0};
};

}  // namespace cressledge::gossip
