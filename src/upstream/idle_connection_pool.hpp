// Connections to upstream hosts that carry no call, kept for the calls to come.
#pragma once

#include <memory>
#include <vector>

#include "base/timer_queue.hpp"
#include "net/stream.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::upstream {

/// A connection to a host, with the time at which it was opened.
struct HostConnection {
    net::Stream* stream = nullptr;
    base::Timestamp opened_at{0};
};

/// Owns idle connections within bounds of number, age and idle time. A connection on which the host says anything, or
/// that the host closes, is closed.
class IdleConnectionPool {
public:
    struct Limits {
        std::size_t max_per_host = 0;
        std::size_t max_total = 0;
        base::Duration max_age{0};
        base::Duration idle_timeout{0};
    };

    /// `timers` holds the idle time-out of each connection; it must outlive the pool.
    IdleConnectionPool(base::TimerQueue& timers, const Limits& limits);
    ~IdleConnectionPool();
    IdleConnectionPool(const IdleConnectionPool&) = delete;
    IdleConnectionPool& operator=(const IdleConnectionPool&) = delete;

    /// New limits, for connections that come from here on.
    void reconfigure(const Limits& limits) { limits_ = limits; }

    /// Makes room for hosts with ids below `host_count`.
    void reserve_hosts(std::size_t host_count);

    /// Whether connections are kept at all.
    bool is_enabled() const { return limits_.max_per_host > 0; }

    /// Keeps the connection, or closes it where a limit stands against it.
    void add(base::Timestamp now, upstream_health::HostId host_id, HostConnection connection);

    /// Takes the connection to the host that was used last, and gives it to `owner`. Its stream is null where there is
    /// none.
    HostConnection take(upstream_health::HostId host_id, net::Stream::Owner& owner);

    /// Closes all idle connections to the host.
    void close_all(upstream_health::HostId host_id);

    /// Closes some connection, for the sake of its descriptor. Returns false where there is none.
    bool close_any();

private:
    class IdleConnection;
    void close(IdleConnection& connection);

    base::TimerQueue& timers_;
    Limits limits_;
    /// By host; the one used last is at the end.
    std::vector<std::vector<std::unique_ptr<IdleConnection>>> connections_;
    std::size_t size_ = 0;
};

}  // namespace cressledge::upstream
