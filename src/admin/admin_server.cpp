#include "admin/admin_server.hpp"

#include <uv.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "base/log.hpp"

namespace cressledge::admin {

using connection_admission::DescriptorPurpose;

AdminServer::AdminServer(net::Loop& loop, base::TimerQueue& timers,
                         connection_admission::FileDescriptorBudget& descriptors,
                         const net::ListenEndpoint& endpoint, AdminSource& source)
    : loop_(loop),
      timers_(timers),
      descriptors_(descriptors),
      source_(source),
      listener_lease_(descriptors.try_acquire(loop.unix_now(), DescriptorPurpose::admin)),
      listener_(loop.uv(), endpoint, [this] { accept_pending(); }) {}

void AdminServer::accept_pending() {
    for (std::size_t accepted = 0; accepted < max_connections; ++accepted)
        if (!accept_connection())
            return;
}

bool AdminServer::accept_connection() {
    // Clients that hold connections open must not block readiness requests.
    if (connections_.size() >= max_connections)
        evict_oldest();
    auto lease = descriptors_.try_acquire(loop_.unix_now(), DescriptorPurpose::admin);
    // The connection stays in the backlog until another one has closed.
    if (!lease)
        return false;
    AdminConnection::Handler& handler = *this;
    auto owned_connection = std::make_unique<AdminConnection>(handler, loop_, timers_);
    AdminConnection& connection = *owned_connection;
    const base::SlotId connection_id = connections_.add(std::move(owned_connection));
    const int error = connection.accept(listener_, std::move(lease), connection_id);
    if (error != 0) {
        connections_.erase(connection_id);
        if (error != UV_EAGAIN)
            base::log_warning("admin: accept failed error=\"{}\"", uv_strerror(error));
        return false;
    }
    accept_order_.push_back(connection_id);
    return true;
}

void AdminServer::evict_oldest() {
    const base::SlotId oldest = accept_order_.front();
    ++evicted_count_;
    connections_.find(oldest)->read_pending();
    on_closed(oldest);
}

void AdminServer::on_request(AdminConnection& connection) {
    const std::string path = connection.path();
    std::optional<std::string> membership;
    if (path == "/v1/fleet" && connection.is_get())
        membership = source_.membership_json(connection.query() == "?brief");
    if (const auto reply = source_.handle_request(connection.method(), path, connection.body())) {
        ++answered_count_;
        return connection.reply(reply->status, reply->json, "application/json");
    }
    const bool is_readiness = path == "/v1/readyz";
    if (!is_readiness && path != "/v1/metrics" && !membership)
        return connection.reply("404 Not Found", "no such call\n");
    if (!connection.is_get())
        return connection.reply("405 Method Not Allowed", "GET only\n");
    ++answered_count_;
    if (membership)
        return connection.reply("200 OK", *membership, "application/json");
    if (is_readiness)
        return reply_readiness(connection);
    reply_metrics(connection);
}

void AdminServer::reply_readiness(AdminConnection& connection) {
    if (source_.is_ready())
        return connection.reply("200 OK", "ready\n");
    connection.reply("503 Service Unavailable", "not ready\n");
}

void AdminServer::reply_metrics(AdminConnection& connection) {
    base::Metrics metrics;
    source_.collect_metrics(metrics);
    std::string body;
    for (const base::Metric& metric : metrics)
        body.append(metric.name).append("=").append(std::to_string(metric.value)).append("\n");
    connection.reply("200 OK", body);
}

void AdminServer::on_closed(base::SlotId connection_id) {
    if (connections_.find(connection_id) == nullptr)
        return;
    accept_order_.erase(std::find(accept_order_.begin(), accept_order_.end(), connection_id));
    connections_.erase(connection_id);
}

}  // namespace cressledge::admin
