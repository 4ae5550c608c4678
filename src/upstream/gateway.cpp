#include "upstream/gateway.hpp"

#include <spdlog/spdlog.h>

#include <csignal>

#include "front/http/session.hpp"
#include "front/scgi/session.hpp"

namespace cressledge::upstream {

std::vector<config::Upstream> servers_of(const config::Operator& o) {
    std::vector<config::Upstream> all = config::load_inventory(o.inventory);
    std::erase_if(all, [&o](const auto& u) { return !o.group.empty() && !u.in(o.group); });
    if (all.empty())
        throw config::Invalid(o.inventory + ": " +
                              (o.group.empty() ? "no servers" : "no server in group " + o.group));
    return all;
}

Gateway::Gateway(net::Loop& loop, core::Deadlines& deadlines, core::Clock& clock, const config::Operator& c,
                 std::uint64_t seed)
    : config_(c), loop_(loop),
      server_(c.settings, curlewreel::make_controller(c.settings, seed), clock, deadlines),
      supply_(seed, c.request_kb), doors_(loop, deadlines, server_, c.stop),
      upstream_(loop, deadlines, server_, clock) {
    upstream_.use(servers_of(c));
    server_.attach(upstream_, records_, *this);
    front::Front::Limits limits;
    limits.connections = c.connections;
    limits.whole = c.whole;
    const auto open = [&](const std::string& where, bool scgi) {
        if (where.empty()) return 0;
        doors_.add(std::make_unique<front::Front>(
            loop, deadlines, server_, *net::Address::parse(where), limits,
            [this, scgi](front::Front& f) -> std::unique_ptr<front::Session> {
                if (scgi) return std::make_unique<front::scgi::ScgiSession>(f, supply_);
                return std::make_unique<front::http::HttpSession>(f, &supply_);
            }));
        return doors_.last().port();
    };
    scgi_port_ = open(c.scgi, true);
    http_port_ = open(c.http, false);
    server_.start(clock.unix_now());
}

void Gateway::start() {
    loop_.on_signal(SIGTERM, [this] { leave(); });
    loop_.on_signal(SIGINT, [this] { leave(); });
    loop_.on_signal(SIGHUP, [this] { reload(); });
    spdlog::info("serving: scgi port {}, http port {}", scgi_port_, http_port_);
}

void Gateway::reload() {
    try {
        const auto servers = servers_of(config_);
        upstream_.use(servers);
        spdlog::info("inventory: {} servers in force", servers.size());
    } catch (const config::Invalid& e) {
        spdlog::error("inventory: the old one stays in force: {}", e.what());
    }
}

}  // namespace cressledge::upstream
