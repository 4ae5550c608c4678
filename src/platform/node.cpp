#include "platform/node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>

#include "front/http/session.hpp"

namespace cressledge::platform {
namespace {

net::Address address(const char* field, const std::string& text) {
    const auto a = net::Address::parse(text);
    if (!a) throw config::Invalid(std::string(field) + ": not an address: " + text);
    return *a;
}

}  // namespace

Node::Node(net::Loop& loop, core::Deadlines& deadlines, const config::Node& c)
    : config_(c), loop_(loop),
      server_(c.settings, curlewreel::make_controller(c.settings, c.seed), loop, deadlines),
      doors_(loop, deadlines, server_, c.stop),
      engine_(loop, deadlines, address("engine", c.engine), server_, c.gauges),
      records_(loop, deadlines, address("records", c.records), std::max<std::size_t>(2, c.sockets / 8),
               server_),
      directory_(loop, deadlines, address("lookup", c.lookup), c.name) {
    front::Front::Limits limits;
    // Callers close what has rested that long; those that never do are let go a little later.
    if (c.settings.idle > core::Span(0)) limits.idle = c.settings.idle + core::Span(1'000'000);
    limits.connections =
        c.sockets * 3 / 4;  // callers use half; the rest is for our own links and closing ones
    doors_.add(std::make_unique<front::Front>(
        loop, deadlines, server_, address("listen", c.listen), limits,
        [](front::Front& f) { return std::make_unique<front::http::HttpSession>(f); }));
    server_.attach(engine_, records_, *this);
}

void Node::start() {
    loop_.on_signal(SIGTERM, [this] { leave(); });
    loop_.on_signal(SIGINT, [this] { leave(); });
    engine_.connect();
    directory_.report(true);
    spdlog::info("serving");
}

void Node::reload(const std::string& path) {
    try {
        const config::Node c = config::load_node(path);
        if (c.name != config_.name || c.listen != config_.listen)
            throw config::Invalid(path + ": name and listen change with a restart only");
        // All are read before the first is used: guards against half a configuration in force.
        const net::Address engine = address("engine", c.engine), records = address("records", c.records),
                           lookup = address("lookup", c.lookup);
        spdlog::info("configuration: in force: engine {}, records {}, lookup {}", c.engine, c.records,
                     c.lookup);
        engine_.move(engine);
        records_.move(records);
        directory_.move(lookup);
    } catch (const std::exception& e) {
        spdlog::error("configuration: the old one stays in force: {}", e.what());
    }
}

void Node::leave() {
    doors_.leave();
    directory_.report(false);
}

}  // namespace cressledge::platform
