#include "upstream/idle_connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace cressledge::upstream {

using upstream_health::HostId;

class IdleConnectionPool::IdleConnection final : public net::Stream::Owner {
public:
    IdleConnection(IdleConnectionPool& idle_pool, HostId host, HostConnection idle_connection)
        : pool(idle_pool), host_id(host), connection(idle_connection) {}
    ~IdleConnection() override {
        if (connection.stream != nullptr)
            connection.stream->close();
    }
    // No call is in flight, so that the bytes cannot belong to a response.
    void on_bytes(std::string_view) override { pool.close(*this); }
    void on_end(bool) override {
        connection.stream = nullptr;
        pool.close(*this);
    }

    IdleConnectionPool& pool;
    const HostId host_id;
    HostConnection connection;
    /// Closes the connection at its expiry; after the close, destroys this object.
    base::TimerHandle timer;
};

IdleConnectionPool::IdleConnectionPool(base::TimerQueue& timers, const Limits& limits)
    : timers_(timers), limits_(limits) {}

IdleConnectionPool::~IdleConnectionPool() = default;

void IdleConnectionPool::reserve_hosts(std::size_t host_count) {
    if (connections_.size() < host_count)
        connections_.resize(host_count);
}

void IdleConnectionPool::add(base::Timestamp now, HostId host_id, HostConnection connection) {
    auto& host_connections = connections_[host_id];
    const base::Timestamp expires_at = connection.opened_at + limits_.max_age;
    if (host_connections.size() >= limits_.max_per_host || size_ >= limits_.max_total || now >= expires_at)
        return connection.stream->close();
    host_connections.push_back(std::make_unique<IdleConnection>(*this, host_id, connection));
    ++size_;
    IdleConnection& idle = *host_connections.back();
    connection.stream->set_owner(idle);
    idle.timer =
        timers_.schedule(std::min(expires_at, now + limits_.idle_timeout), [this, &idle] { close(idle); });
}

// The most recently used connection is the least likely to have been closed by the host.
HostConnection IdleConnectionPool::take(HostId host_id, net::Stream::Owner& owner) {
    auto& host_connections = connections_[host_id];
    while (!host_connections.empty()) {
        const auto idle = std::move(host_connections.back());
        host_connections.pop_back();
        --size_;
        if (idle->connection.stream == nullptr)
            continue;
        idle->connection.stream->set_owner(owner);
        return std::exchange(idle->connection, {});
    }
    return {};
}

void IdleConnectionPool::close_all(HostId host_id) {
    if (host_id >= connections_.size())
        return;
    size_ -= connections_[host_id].size();
    connections_[host_id].clear();
}

bool IdleConnectionPool::close_any() {
    for (auto& host_connections : connections_) {
        for (auto& idle : host_connections) {
            if (idle->connection.stream == nullptr)
                continue;
            close(*idle);
            return true;
        }
    }
    return false;
}

void IdleConnectionPool::close(IdleConnection& idle) {
    if (idle.connection.stream != nullptr)
        std::exchange(idle.connection.stream, nullptr)->close();
    // A member function of `idle` may be running: it is destroyed on the next iteration of the event loop.
    idle.timer = timers_.schedule(base::Timestamp(0), [this, &idle] {
        size_ -= std::erase_if(connections_[idle.host_id],
                               [&idle](const auto& candidate) { return candidate.get() == &idle; });
    });
}

}  // namespace cressledge::upstream
