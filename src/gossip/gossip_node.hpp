// The I/O beside membership::View: datagrams and full exchanges on one address, its timer, its figures and its log lines.
// It decides nothing.
//
// A full exchange is one frame (gossip/port.hpp) each way over a connection. The one that dials speaks first; the other answers and ends the connection.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/metric.hpp"
#include "base/slot_map.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "gossip/transport.hpp"
#include "membership/membership_table.hpp"
#include "net/loop.hpp"

namespace cressledge::gossip {

struct Settings {
    std::string fleet_name, member_id;
    membership::Endpoint listen,
        advertise;  // advertise: where others reach it; a port of 0: that of `listen`
    std::vector<membership::Endpoint> seeds;
    membership::MembershipSettings membership;
};

class GossipNode {
public:
    static constexpr std::size_t max_exchanges_per_direction = 8;  // connections at once, each way
    static constexpr std::size_t descriptors_needed = 2 + 2 * max_exchanges_per_direction;
    static constexpr std::size_t max_frame_bytes =
        200U << 10U;  // bytes; of a larger view a part by chance is sent
    static constexpr base::Duration exchange_timeout{2'000'000};  // for an exchange
    static constexpr unsigned max_log_lines_per_second = 20;  // of changes in the log, a second

    // Throws std::runtime_error when the address cannot be taken.
    GossipNode(net::Loop& loop, base::TimerQueue& timers,
               connection_admission::FileDescriptorBudget& descriptors, const Settings& settings,
               std::uint64_t seed);
    ~GossipNode();
    GossipNode(const GossipNode&) = delete;
    GossipNode& operator=(const GossipNode&) = delete;

    void reconfigure(const membership::MembershipSettings& settings,
                     const std::vector<membership::Endpoint>& seeds) {
        membership_->reconfigure(settings, seeds);
    }
    void leave();
    const membership::MembershipTable& membership() const { return *membership_; }
    void append_metrics(base::Metrics& out);
    std::string status_json(bool brief);  // JSON: self, digest, counts, and unless brief the members

private:
    class ExchangeConnection;
    struct TrafficMeter {  // bytes, in all and over the last ten whole seconds
        std::uint64_t total_bytes = 0, datagrams = 0;
        std::array<std::uint64_t, 11> bytes_by_second{};
        std::int64_t current_second = 0;
        void add(base::Timestamp now, std::size_t bytes);
        std::uint64_t bytes_per_second(base::Timestamp now);

    private:
        void advance_to(base::Timestamp now);
    };
    void on_datagram(std::string_view bytes, const net::Address& from);
    void accept_exchanges();
    void apply(membership::MembershipTable::Effects& out);
    void log_change(const membership::MembershipTable::MemberChange& change);
    void start_exchange(const membership::Endpoint& with);
    void on_exchange_frame(ExchangeConnection& talk, std::string_view frame);
    void end_exchange(base::SlotId no);
    void arm_timer();
    std::string make_exchange_frame(membership::MessageType kind);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    connection_admission::FileDescriptorBudget& descriptors_;
    const std::string fleet_name_;
    std::vector<connection_admission::FileDescriptorBudget::Lease> socket_leases_;
    membership::MemberIndexTable member_indices_;
    std::unique_ptr<net::UdpSocket> datagrams_;
    std::unique_ptr<net::Listener> listener_;
    std::unique_ptr<membership::MembershipTable> membership_;
    base::SlotMap<ExchangeConnection> exchanges_;
    std::size_t outbound_exchanges_ = 0, inbound_exchanges_ = 0;
    base::TimerQueue::Handle membership_timer_ = 0, accept_retry_timer_ = 0;
    base::Timestamp armed_for_{0};
    pcg32 random_;
    TrafficMeter sent_, received_;
    std::array<std::uint64_t, membership::drop_reason_count> dropped_by_reason_{};
    std::uint64_t failed_exchanges_ = 0;  // exchanges
    std::int64_t log_second_ = 0;
    unsigned log_lines_in_second_ = 0;
    std::uint64_t suppressed_log_lines_ = 0;
};

}  // namespace cressledge::gossip
