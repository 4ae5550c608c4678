/// Fake upstream servers: many HTTP/1.1 servers in one process, each a ServerModel with its own listening socket. Their
/// responses carry load reports (load_balancing::format_load_report). They slow down, fail and restart on command.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/slot_map.hpp"
#include "common/deferred_eraser.hpp"
#include "fake_upstream/load_imbalance.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::fake_upstream {

/// Configuration of a fleet.
struct FleetSpec {
    std::vector<ServerProfile> servers;
    /// Address of each server with its port; with port 0 the kernel chooses one.
    std::vector<std::string> addresses;
    /// Request classes whose request bodies must not arrive twice.
    std::set<std::string> at_most_once_classes;
    std::uint64_t seed = 1;
};

/// A running fleet; the destructor closes its listeners and connections.
class Fleet {
public:
    /// Throws std::runtime_error where an address cannot be bound.
    Fleet(net::Loop& loop, base::TimerQueue& timers, FleetSpec spec);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /// Number of servers.
    std::size_t size() const { return models_.size(); }
    /// The address of a server with the port it is bound to.
    std::string address(std::size_t server) const;
    /// See ServerModel::set_slowdown.
    void set_slowdown(std::size_t server, double factor) { models_.at(server).set_slowdown(factor); }
    /// See ServerModel::set_failing.
    void set_failing(std::size_t server, bool failing) { models_.at(server).set_failing(failing); }
    /// Closes the connections and the listener of a server, which restarts cold after `downtime`.
    void restart(std::size_t server, Duration downtime);
    /// Discards the samples of the load imbalance and starts sampling, or stops it.
    void set_monitoring(bool enabled);

    /// Counts of calls, their results and protocol errors.
    struct Counters {
        std::uint64_t calls = 0, answers = 0, errors = 0, probes = 0;
        /// Calls whose connection was closed before their response.
        std::uint64_t abandoned = 0;
        /// Requests that are malformed or followed by trailing bytes.
        std::uint64_t malformed = 0;
        /// Requests of `at_most_once_classes` whose body had arrived before.
        std::uint64_t duplicates = 0;
    };
    /// Counts since the start.
    const Counters& counters() const { return counters_; }
    /// Number of calls that each server has received.
    const std::vector<std::uint64_t>& calls_by_server() const { return calls_by_server_; }
    /// Load imbalance since monitoring was last enabled.
    LoadImbalance load_imbalance() const { return monitor_.result(); }

private:
    class Connection;
    void listen(std::size_t server);
    void accept(std::size_t server);
    void on_request(Connection& connection);
    void schedule_finish(std::size_t server, const std::optional<ServerModel::ServiceStart>& start);
    void on_service_finished(std::size_t server, CallId call);
    void depart(std::size_t server, CallId call);
    void close(base::SlotId id);
    void take_due_samples();

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const FleetSpec spec_;
    Random random_;
    std::vector<ServerModel> models_;
    std::vector<std::unique_ptr<net::Listener>> listeners_;
    std::vector<int> ports_;
    base::SlotMap<Connection> connections_;
    tools::DeferredEraser<Connection> closed_connections_{timers_, connections_};
    /// The connection on which each call arrived.
    std::map<CallId, base::SlotId> connection_by_call_;
    std::map<CallId, base::TimerHandle> finish_timers_;
    std::map<std::size_t, base::TimerHandle> restart_timers_;
    std::set<std::string> seen_bodies_;
    CallId last_call_ = 0;
    base::TimerHandle sample_timer_;
    Timestamp next_sample_at_{0};
    LoadImbalanceMonitor monitor_;
    Counters counters_;
    std::vector<std::uint64_t> calls_by_server_;
};

}  // namespace cressledge::fake_upstream
