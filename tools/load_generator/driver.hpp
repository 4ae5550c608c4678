/// Open-loop load driver: sends HTTP/1.1 requests to the frontends of many processes and counts their outcomes. The
/// latency of a request is measured from the time at which it was due, not from the time at which it was sent. The
/// number of connections is bounded; a request for which none is available is counted as unsent.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/slot_map.hpp"
#include "common/deferred_eraser.hpp"
#include "load_generator/arrival_process.hpp"
#include "load_generator/outcome_stats.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::load_generator {

/// Sends requests between start() and stop(), each to a random target.
class Driver {
public:
    /// `max_connections`: upper bound on the connections to all targets together.
    Driver(net::Loop& loop, base::TimerQueue& timers, ArrivalProcess arrivals,
           std::size_t max_connections = 8192);
    ~Driver();
    Driver(const Driver&) = delete;
    Driver& operator=(const Driver&) = delete;

    /// Sets the targets of later requests. Without targets, no requests are sent.
    void set_targets(std::vector<net::Address> targets) { targets_ = std::move(targets); }
    /// Starts to send requests.
    void start();
    /// Stops sending requests; those in flight continue.
    void stop();
    /// Sets the requests per second.
    void set_rate_s(double rate_s) { arrivals_.set_rate_s(rate_s); }
    /// Requests per second.
    double rate_s() const { return arrivals_.rate_s(); }
    /// Resets all counts. Requests in flight at this time are not counted when they end.
    void reset_counts();
    /// Number of requests without an outcome yet.
    std::size_t in_flight() const { return in_flight_; }
    /// Number of requests sent since the counts were reset.
    std::uint64_t sent() const { return sent_; }
    /// Number of requests not sent because `max_connections` were in use when they were due.
    std::uint64_t unsent() const { return unsent_; }
    /// The classes of the mix, by index.
    const std::vector<RequestClass>& classes() const { return arrivals_.classes(); }
    /// Statistics by class index.
    const std::vector<OutcomeStats>& stats_by_class() const { return stats_; }
    /// Statistics of all classes together.
    OutcomeStats total_stats() const;
    /// Called for each counted request when it ends.
    std::function<void(std::size_t class_index, std::size_t target_index, Outcome outcome, Duration latency)>
        on_request_finished;

private:
    class Connection;
    void send_due_requests();
    void send(Timestamp due_at);
    Connection* idle_or_new_connection(const net::Address& target);
    void finish_request(Connection& connection, Outcome outcome);
    void drop(base::SlotId id);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    ArrivalProcess arrivals_;
    const std::size_t max_connections_;
    std::vector<net::Address> targets_;
    base::SlotMap<Connection> connections_;
    tools::DeferredEraser<Connection> closed_connections_{timers_, connections_};
    /// Idle connections by target address, the most recently used last.
    std::unordered_map<std::uint64_t, std::vector<base::SlotId>> idle_connections_;
    std::vector<OutcomeStats> stats_;
    base::TimerHandle arrival_timer_;
    Timestamp next_due_at_{0}, counted_since_{0};
    std::uint64_t sent_ = 0, unsent_ = 0, last_body_number_ = 0;
    std::size_t in_flight_ = 0;
    bool is_started_ = false;
};

}  // namespace cressledge::load_generator
