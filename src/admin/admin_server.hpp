/// The admin address (`listen.control` in operators' files): readiness, metrics and membership over HTTP/1.1.
///
/// Serves `GET /v1/readyz`, `GET /v1/metrics` and, if the process has a membership table, `GET /v1/fleet`; the
/// AdminSource may handle further requests. Owns the listener and its connections. Shares only the event loop with the
/// frontends, so that it replies within a second whatever the callers do.
///
/// Invariant: at most max_connections connections are open; a new one evicts the oldest.
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

/// Serves the admin address.
class AdminServer final : private AdminConnection::Handler {
public:
    /// Maximum number of open connections.
    static constexpr std::size_t max_connections = 32;

    /// Throws net::SocketError if listening on the address fails.
    AdminServer(net::Loop& loop, base::TimerQueue& timers,
                connection_admission::FileDescriptorBudget& descriptors, const net::ListenEndpoint& endpoint,
                AdminSource& source);
    ~AdminServer() override = default;
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    /// The listening port, also if the system chose it.
    int port() const { return listener_.port(); }
    /// Number of requests that were handled, as opposed to rejected with a 4xx status by the server itself.
    std::uint64_t answered_count() const { return answered_count_; }
    /// Number of connections closed in favour of a new one.
    std::uint64_t evicted_count() const { return evicted_count_; }

private:
    void on_request(AdminConnection& connection) override;
    void on_closed(base::SlotId connection_id) override;
    void accept_pending();
    /// Returns false if no connection can be accepted now.
    bool accept_connection();
    void evict_oldest();
    void reply_readiness(AdminConnection& connection);
    void reply_metrics(AdminConnection& connection);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    connection_admission::FileDescriptorBudget& descriptors_;
    AdminSource& source_;
    base::SlotMap<AdminConnection> connections_;
    /// Connection ids in the order of acceptance.
    std::vector<base::SlotId> accept_order_;
    connection_admission::FileDescriptorBudget::Lease listener_lease_;
    std::uint64_t answered_count_ = 0;
    std::uint64_t evicted_count_ = 0;
    net::Listener listener_;
};

}  // namespace cressledge::admin
