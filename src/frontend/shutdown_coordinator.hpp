// The way out, the same for every set-up: the notice to leave, the last moments before the stop, the end.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/metric.hpp"
#include "frontend/frontend.hpp"

namespace cressledge::frontend {

class ShutdownCoordinator {
public:
    ShutdownCoordinator(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& server,
                        base::Duration stop_delay)
        : loop_(loop), timers_(timers), server_(server), stop_delay_(stop_delay) {}
    void add_frontend(std::unique_ptr<Frontend> frontend) { frontends_.push_back(std::move(frontend)); }
    Frontend& last_frontend() { return *frontends_.back(); }
    void set_idle_limit(base::Duration limit) {
        for (const auto& f : frontends_)
            f->set_idle_limit(limit);
    }
    void start_graceful_shutdown();
    // What ended connections, over all fronts: `node.connections.X`.
    void collect_connection_metrics(base::Metrics& out) const;

private:
    void advance_drain();
    net::Loop& loop_;
    base::TimerQueue& timers_;
    request::RequestManager& server_;
    const base::Duration stop_delay_;  // from the notice to the stop
    std::vector<std::unique_ptr<Frontend>> frontends_;
};

}  // namespace cressledge::frontend
