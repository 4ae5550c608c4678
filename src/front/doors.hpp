// The way out, the same for every set-up: the notice to leave, the last moments before the stop, the end.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "front/front.hpp"

namespace cressledge::front {

class Doors {
public:
    Doors(net::Loop& loop, core::Deadlines& deadlines, core::Server& server, core::Span stop)
        : loop_(loop), deadlines_(deadlines), server_(server), stop_(stop) {}
    void add(std::unique_ptr<Front> front) { fronts_.push_back(std::move(front)); }
    Front& last() { return *fronts_.back(); }
    void idle_limit(core::Span limit) {
        for (const auto& f : fronts_) f->idle_limit(limit);
    }
    void leave();
    // What ended connections, over all fronts: `node.connections.X`.
    void figures(std::vector<std::pair<std::string, std::uint64_t>>& out) const;

private:
    void settle();
    net::Loop& loop_;
    core::Deadlines& deadlines_;
    core::Server& server_;
    const core::Span stop_;  // from the notice to the stop
    std::vector<std::unique_ptr<Front>> fronts_;
};

}  // namespace cressledge::front
