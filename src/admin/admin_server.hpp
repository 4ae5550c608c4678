/// The admin address (`listen.control` in operators' files): readiness, metrics and membership over HTTP/1.1.
///
/// `GET /v1/readyz`, `GET /v1/metrics` and, where the process keeps a membership table, `GET /v1/fleet`; further requests
/// are the source's own. Owns the listener and its connections. It shares the loop with the frontends and nothing else,
/// so that a reply is due within a second whatever callers do.
///
/// Invariant: at most max_connections are open; a new one closes the oldest.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "admin/admin_connection.hpp"
#include "admin/admin_source.hpp"
#include "admin/request_metrics.hpp"
#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::admin {

/// The listener of the admin address.
class AdminServer final : private AdminConnection::Handler {
public:
    /// Open at a time.
    static constexpr std::size_t max_connections = 32;

    /// Throws std::runtime_error when the address cannot be listened on.
    AdminServer(net::Loop& loop, base::TimerQueue& timers,
                connection_admission::FileDescriptorBudget& descriptors, const net::ListenEndpoint& listening,
                AdminSource& source);
    ~AdminServer() override = default;
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    /// The port that is listened on, also where the address left it to the system.
    int port() const { return listener_.port(); }
    /// Requests that were answered with what they asked for.
    std::uint64_t answered_count() const { return answered_count_; }
    /// Connections that were closed for a new one.
    std::uint64_t evicted_count() const { return evicted_count_; }

private:
    void on_request(AdminConnection& connection) override;
    void on_closed(base::SlotId connection_id) override;
    void accept_pending();
    /// Returns false when nothing more can be accepted now.
    bool accept_connection();
    void evict_oldest();
    void reply_readiness(AdminConnection& connection);
    void reply_metrics(AdminConnection& connection);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    connection_admission::FileDescriptorBudget& descriptors_;
    AdminSource& source_;
    base::SlotMap<AdminConnection> connections_;
    /// Ids of the connections in the order in which they were accepted.
    std::vector<base::SlotId> accept_order_;
    connection_admission::FileDescriptorBudget::Lease listener_lease_;
    std::uint64_t answered_count_ = 0;
    std::uint64_t evicted_count_ = 0;
    net::Listener listener_;
};

}  // namespace cressledge::admin
