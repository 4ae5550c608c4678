/// Graceful shutdown of all frontends of a process.
///
/// Owns the frontends. After the shutdown notice it leaves shared listening sockets to a successor, if there is one,
/// later drains the connections, and stops the loop when all requests have their responses, at the latest just before
/// the process is stopped.
///
/// Invariant: every request that was read gets its response before the loop is stopped.
#pragma once

#include <memory>
#include <vector>

#include "base/metric.hpp"
#include "frontend/frontend.hpp"

namespace cressledge::frontend {

/// Carries out the graceful shutdown of the frontends of a process.
class ShutdownCoordinator {
public:
    /// `stop_delay`: time from the shutdown notice to the stop of the process.
    ShutdownCoordinator(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& request_manager,
                        base::Duration stop_delay)
        : loop_(loop), timers_(timers), request_manager_(request_manager), stop_delay_(stop_delay) {}

    /// Takes ownership of a frontend.
    void add_frontend(std::unique_ptr<Frontend> frontend) { frontends_.push_back(std::move(frontend)); }
    /// The frontend that was added last. At least one must have been added.
    Frontend& last_frontend() { return *frontends_.back(); }
    /// Sets the admission controller's idle limit on every frontend. 0: none.
    void set_idle_limit(base::Duration limit);
    /// Starts the shutdown. `successor`: whether another process accepts the connections that come from now on. A second
    /// call only tells of a successor.
    void begin_graceful_shutdown(Successor successor = Successor::none);
    /// Appends the metrics `node.connections.X`: closed connections by cause, summed over all frontends.
    void collect_connection_metrics(base::Metrics& out) const;

private:
    void schedule_drain();
    void start_drain();
    void advance_drain();
    bool has_unfinished_work() const;
    bool can_stop(base::Timestamp now) const;
    void stop();

    net::Loop& loop_;
    base::TimerQueue& timers_;
    request::RequestManager& request_manager_;
    const base::Duration stop_delay_;
    std::vector<std::unique_ptr<Frontend>> frontends_;
};

}  // namespace cressledge::frontend
