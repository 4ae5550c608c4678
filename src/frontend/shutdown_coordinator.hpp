/// Graceful shutdown over all frontends of a process: the notice, the last moments before the stop, the end.
///
/// Owns the frontends. Ends the loop once everything that was read is answered, or just before the stop.
///
/// Invariant: a request that was read gets its response before the loop is stopped.
#pragma once

#include <memory>
#include <vector>

#include "base/metric.hpp"
#include "frontend/frontend.hpp"

namespace cressledge::frontend {

/// Takes the frontends of a process through its graceful shutdown.
class ShutdownCoordinator {
public:
    /// `stop_delay`: from the notice to the stop of the process.
    ShutdownCoordinator(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& server,
                        base::Duration stop_delay)
        : loop_(loop), timers_(timers), server_(server), stop_delay_(stop_delay) {}

    /// Takes ownership of a frontend; it drains with the others at graceful shutdown.
    void add_frontend(std::unique_ptr<Frontend> frontend) { frontends_.push_back(std::move(frontend)); }
    /// The frontend added last; there must be one.
    Frontend& last_frontend() { return *frontends_.back(); }
    /// Sets the controller's idle limit on every frontend. 0: none.
    void set_idle_limit(base::Duration limit);
    /// Begins the shutdown. A second call has no effect.
    void start_graceful_shutdown();
    /// Appends `node.connections.X`: connections by what closed them, summed over all frontends.
    void collect_connection_metrics(base::Metrics& out) const;

private:
    void start_drain();
    void advance_drain();
    bool has_unfinished_work() const;
    bool can_stop(base::Timestamp now) const;
    void stop();

    net::Loop& loop_;
    base::TimerQueue& timers_;
    request::RequestManager& server_;
    const base::Duration stop_delay_;
    std::vector<std::unique_ptr<Frontend>> frontends_;
};

}  // namespace cressledge::frontend
