/// Drives requests over HTTP/1.1 to the frontends of many processes, as an open loop, and counts their outcomes. The
/// latency of a request counts from the moment it was due, not from when it was sent. Its connections are bounded: a
/// request for which there is none is counted as unsent.
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

/// Sends requests while it is started, each to a target drawn by chance.
class Driver {
public:
    /// `max_connections`: to all targets together.
    Driver(net::Loop& loop, base::TimerQueue& timers, ArrivalProcess arrivals,
           std::size_t max_connections = 8192);
    ~Driver();
    Driver(const Driver&) = delete;
    Driver& operator=(const Driver&) = delete;

    /// The targets of later requests; none: requests are not sent.
    void set_targets(std::vector<net::Address> targets) { targets_ = std::move(targets); }
    /// Sends requests from now on.
    void start();
    /// Sends no new requests; those in flight go on.
    void stop();
    /// Requests a second.
    void set_rate_s(double rate_s) { arrivals_.set_rate_s(rate_s); }
    /// Requests a second.
    double rate_s() const { return arrivals_.rate_s(); }
    /// Clears all counts. Requests that are in flight now are not counted when they end.
    void reset_counts();
    /// Requests without an outcome yet.
    std::size_t in_flight() const { return in_flight_; }
    /// Requests sent since the counts were reset.
    std::uint64_t sent() const { return sent_; }
    /// Requests that were due when `max_connections` were in use.
    std::uint64_t unsent() const { return unsent_; }
    /// The classes of the mix, by index.
    const std::vector<RequestClass>& classes() const { return arrivals_.classes(); }
    /// By class.
    const std::vector<OutcomeStats>& stats_by_class() const { return stats_; }
    /// Of all classes.
    OutcomeStats total_stats() const;
    /// Called for each request that has ended and is counted.
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
    /// By target; the one used last comes last.
    std::unordered_map<std::uint64_t, std::vector<base::SlotId>> idle_connections_;
    std::vector<OutcomeStats> stats_;
    base::TimerHandle arrival_timer_;
    Timestamp next_due_at_{0}, counted_since_{0};
    std::uint64_t sent_ = 0, unsent_ = 0, last_body_number_ = 0;
    std::size_t in_flight_ = 0;
    bool is_started_ = false;
};

}  // namespace cressledge::load_generator
