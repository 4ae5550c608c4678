// One server on the platform: the HTTP front, the engine, the records service and the directory round the core.
#pragma once

#include <memory>

#include "config/node.hpp"
#include "core/server.hpp"
#include "front/front.hpp"
#include "platform/directory.hpp"
#include "platform/engine.hpp"
#include "platform/records.hpp"

namespace cressledge::platform {

class Node final : public core::Surroundings {
public:
    Node(net::Loop& loop, core::Deadlines& deadlines, const config::Node& config);
    void start();
    void idle_limit(core::Span limit) override { front_.idle_limit(limit); }
    int port() const { return front_.port(); }

private:
    void leave();  // the notice to leave
    void last_moments();
    void settle();

    net::Loop& loop_;
    core::Deadlines& deadlines_;
    const core::Span stop_;
    core::Server server_;
    front::Front front_;
    Engine engine_;
    RecordsClient records_;
    Directory directory_;
};

}  // namespace cressledge::platform
