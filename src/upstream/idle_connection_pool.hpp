// The connection pool: idle keep-alive connections to upstream hosts, for later calls.
#pragma once

#include <memory>
#include <vector>

#include "base/timer_queue.hpp"
#include "net/stream.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::upstream {

/// A connection to a host and the time at which it was opened.
struct HostConnection {
    net::Stream* stream = nullptr;
    base::Timestamp opened_at{0};
};

/// Owns idle connections, limited in number, age and idle time. An idle connection on which the host sends any byte, or
/// that the host closes, is closed and removed.
class IdleConnectionPool {
public:
    struct Limits {
        std::size_t max_per_host = 0;
        std::size_t max_total = 0;
        base::Duration max_age{0};
        base::Duration idle_timeout{0};
    };

    /// `timers` runs the timeout of each connection; it must outlive the pool.
    IdleConnectionPool(base::TimerQueue& timers, const Limits& limits);
    ~IdleConnectionPool();
    IdleConnectionPool(const IdleConnectionPool&) = delete;
    IdleConnectionPool& operator=(const IdleConnectionPool&) = delete;

    /// Applies new limits to connections that are added from now on.
    void reconfigure(const Limits& limits) { limits_ = limits; }

    /// Allocates entries for host ids below `host_count`.
    void reserve_hosts(std::size_t host_count);

    /// Whether the limits allow idle connections.
    bool is_enabled() const { return limits_.max_per_host > 0; }

    /// Adds the connection, or closes it if a limit is exceeded.
    void add(base::Timestamp now, upstream_health::HostId host_id, HostConnection connection);

    /// Removes the most recently used connection to the host from the pool and transfers it to `owner`. The stream of
    /// the result is null if there is none.
    HostConnection take(upstream_health::HostId host_id, net::Stream::Owner& owner);

    /// Closes all idle connections to the host.
    void close_all(upstream_health::HostId host_id);

    /// Closes one idle connection, to free its file descriptor. Returns false if there is none.
    bool close_any();

private:
    class IdleConnection;
    void close(IdleConnection& connection);

    base::TimerQueue& timers_;
    Limits limits_;
    /// Indexed by host id; the most recently used connection is last.
    std::vector<std::vector<std::unique_ptr<IdleConnection>>> connections_;
    std::size_t size_ = 0;
};

}  // namespace cressledge::upstream
