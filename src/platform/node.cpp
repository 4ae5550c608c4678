#include "platform/node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>

#include "front/http/session.hpp"

namespace cressledge::platform {
namespace {

constexpr std::uint32_t lobby = 16;
constexpr std::size_t top = 10;  // sources in the report

net::Address address(const char* field, const std::string& text) {
    const auto a = net::Address::parse(text);
    if (!a) throw config::Invalid(std::string(field) + ": not an address: " + text);
    return *a;
}

// Where nothing is called there is no such address: a call that came up all the same would be refused.
net::Address records_at(const config::Node& c) {
    return c.records.empty() ? net::Address{} : address("records", c.records);
}

// Callers there cannot be told apart with certainty: nobody is listed and nobody is capped. Callers use half of the
// descriptors; what the rest leaves is for our own links and for connections that are closing.
admission::Settings admission_of(const config::Node& c, const admission::Plan& plan) {
    admission::Settings s;
    s.connections = plan.connections;
    s.lobby = plan.lobby;
    s.hold_off = c.settings.max_retry_after;
    return s;
}
std::size_t records_of(const config::Node& c) { return std::max<std::size_t>(2, c.sockets / 8); }
admission::Plan plan_of(const config::Node& c) {
    admission::Needs needs;
    needs.listeners = 1;
    needs.links = 2;
    needs.records = records_of(c);
    needs.lobby = lobby;
    needs.control = c.control.empty() ? 0 : front::control::Control::most + 1;
    return admission::plan(c.sockets, c.held, needs, static_cast<std::uint32_t>(c.sockets * 3 / 4));
}

}  // namespace

Node::Node(net::Loop& loop, core::Deadlines& deadlines, const config::Node& c)
    : config_(c), source_(c.source), loop_(loop), plan_(plan_of(c)), descriptors_(plan_),
      server_(c.settings, curlewreel::make_controller(c.settings, c.seed), loop, deadlines),
      porter_(deadlines, server_, descriptors_, admission_of(c, plan_), c.seed),
      doors_(loop, deadlines, server_, c.stop),
      engine_(loop, deadlines, address("engine", c.engine), server_, descriptors_, c.gauges),
      records_(loop, deadlines, records_at(c), records_of(c), server_, descriptors_),
      directory_(loop, deadlines, address("lookup", c.lookup), descriptors_, c.name) {
    front::Front::Limits limits;
    // Callers close what has rested that long; those that never do are let go a little later.
    if (c.settings.idle > core::Span(0)) limits.idle = c.settings.idle + core::Span(1'000'000);
    doors_.add(std::make_unique<front::Front>(
        loop, deadlines, server_, porter_, net::Listening{address("listen", c.listen), c.inherited}, limits,
        [](front::Front& f) { return std::make_unique<front::http::HttpSession>(f); }));
    server_.attach(engine_, records_, *this);
    if (!c.control.empty())
        control_.emplace(loop, deadlines, descriptors_, net::Listening{address("control", c.control)}, *this);
}

bool Node::ready() { return server_.started() && !server_.draining(); }

void Node::figures(std::vector<std::pair<std::string, std::uint64_t>>& out) {
    front::control::responses(server_, out);
    doors_.figures(out);
    out.emplace_back("node.config_applied", applied_);
    out.emplace_back("node.config_rejected", rejected_);
}

void Node::start() {
    loop_.on_signal(SIGTERM, [this] { leave(); });
    loop_.on_signal(SIGINT, [this] { leave(); });
    loop_.on_signal(SIGUSR1, [this] { porter_.report(top); });
    engine_.connect();
    directory_.report(true);
    spdlog::info("serving");
}

void Node::reload(const std::string& path) {
    try {
        const auto lease = descriptors_.take(server_.now(), admission::Purpose::file);
        const config::Node c = config::load_node(path);
        if (c.name != config_.name || c.listen != config_.listen)
            throw config::Invalid(path + ": name and listen change with a restart only");
        // All are read before the first is used: guards against half a configuration in force.
        const net::Address engine = address("engine", c.engine), records = records_at(c),
                           lookup = address("lookup", c.lookup);
        spdlog::info("configuration: in force: engine {}, records {}, lookup {}", c.engine, c.records,
                     c.lookup);
        engine_.move(engine);
        records_.move(records);
        directory_.move(lookup);
        if (c.source != source_) {
            server_.retune(c.settings, curlewreel::make_controller(c.settings, c.seed));
            source_ = c.source;
        }
        ++applied_;
    } catch (const std::exception& e) {
        ++rejected_;
        spdlog::error("configuration: the old one stays in force: {}", e.what());
    }
}

void Node::leave() {
    doors_.leave();
    directory_.report(false);
}

}  // namespace cressledge::platform
