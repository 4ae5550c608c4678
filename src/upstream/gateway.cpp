#include "upstream/gateway.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>

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

namespace {

constexpr core::Span fleet_every{1'000'000}, join_again{50'000};
constexpr std::size_t probes = 16;  // of servers, at a time
constexpr std::size_t store_files = 3;  // the lock, the log, and what is written for a moment
constexpr std::size_t signal_pipe = 2;  // libuv's own, opened with the first signal that is asked for

admission::Settings fitted(admission::Settings s, const admission::Plan& plan) {
    if (plan.connections < s.connections)
        spdlog::warn("admission: room for {} of {} connections: {} descriptors", plan.connections, s.connections,
                     plan.limit);
    s.connections = plan.connections;
    s.lobby = plan.lobby;
    return s;
}

// Whether a process goes on as the same member of the same fleet.
bool same_member(const std::optional<gossip::Settings>& a, const std::optional<gossip::Settings>& b) {
    if (!a || !b) return a.has_value() == b.has_value();
    return a->fleet == b->fleet && a->id == b->id && a->listen == b->listen && a->advertise == b->advertise;
}

}  // namespace

admission::Plan Gateway::plan_for(const config::Operator& o) const {
    const admission::Settings& s = o.admission;
    admission::Needs needs;
    needs.listeners = (o.scgi.empty() ? 0U : 1U) + (o.http.empty() ? 0U : 1U);
    needs.lobby = s.lobby;
    needs.control = o.control.empty() && o.inherited.control < 0 ? 0 : front::control::Control::most + 1;
    needs.gossip = o.fleet ? gossip::Node::wanted : 0;
    needs.files = o.learning.folder.empty() ? 0 : store_files;
    needs.upstream = (s.requests == 0 ? s.connections : s.requests) + o.routing.kept_in_all + probes;
    needs.upstream_least = static_cast<std::size_t>(o.settings.cores) * 2;
    for (const admission::Group& g : s.groups) needs.reserve += g.connections;
    // What the operator allows the process, and never more than the system lets it have.
    const std::size_t system = net::descriptor_limit();
    const std::size_t limit = o.descriptors == 0 ? system : std::min(o.descriptors, system);
    try {
        return admission::plan(limit, held_, needs, s.connections);
    } catch (const std::invalid_argument& e) {
        throw config::Invalid(o.path + ": admission: " + e.what());
    }
}

Gateway::Gateway(net::Loop& loop, core::Deadlines& deadlines, core::Clock& clock, const config::Operator& c,
                 std::uint64_t seed, const Wrap& wrap)
    : config_(c), loop_(loop), deadlines_(deadlines), held_(net::open_descriptors() + signal_pipe), descriptors_(plan_for(c)),
      server_(c.settings, curlewreel::make_controller(c.settings, seed), clock, deadlines),
      supply_(seed, c.request_kb),
      porter_(deadlines, server_, descriptors_, fitted(c.admission, plan_for(c)), seed), doors_(loop, deadlines, server_, c.stop),
      upstream_(loop, deadlines, server_, clock, descriptors_, c.routing, seed) {
    servers_ = servers_of(c);
    upstream_.use(servers_);
    if (wrap) wrapped_ = wrap(server_, upstream_);
    server_.attach(wrapped_ ? *wrapped_ : upstream_, records_, *this);
    front::Front::Limits limits;
    limits.whole = c.whole;
    const auto open = [&](const std::string& where, bool scgi) {
        if (where.empty()) return 0;
        doors_.add(std::make_unique<front::Front>(
            loop, deadlines, server_, porter_, net::Listening{*net::Address::parse(where), scgi ? c.inherited.scgi : c.inherited.http}, limits,
            [this, scgi](front::Front& f) -> std::unique_ptr<front::Session> {
                if (scgi) return std::make_unique<front::scgi::ScgiSession>(f, supply_);
                return std::make_unique<front::http::HttpSession>(f, &supply_);
            }));
        return doors_.last().port();
    };
    scgi_port_ = open(c.scgi, true);
    http_port_ = open(c.http, false);
    if (!c.learning.folder.empty()) remember(clock.unix_now());
    join_fleet(seed);
    if (!c.control.empty() || c.inherited.control >= 0)
        control_.emplace(loop, deadlines, descriptors_,
                         net::Listening{net::Address::parse(c.control).value_or(net::Address{}), c.inherited.control}, *this);
    server_.start(clock.unix_now());
    if (keeper_) keeper_->start();
    upstream_.start();
    look_at_inventory();
}

// A process that takes over from another under its id finds the gossip port in use until that one has let it go.
void Gateway::join_fleet(std::uint64_t seed) {
    join_ = 0;
    if (!config_.fleet || server_.draining()) return;
    const bool takes_over = config_.inherited.any();
    try {
        gossip_ = std::make_unique<gossip::Node>(loop_, deadlines_, descriptors_, *config_.fleet, seed);
        look_at_fleet();
    } catch (const std::runtime_error&) {
        if (!takes_over) throw;
        join_ = deadlines_.at(loop_.unix_now() + join_again, [this, seed] { join_fleet(seed); });
    }
}

void Gateway::look_at_inventory() {
    watch_.reset();
    const auto ms = static_cast<unsigned>(config_.routing.watch.count() / 1000);
    if (ms == 0) return;
    watch_ = std::make_unique<net::Watch>(loop_.uv(), config_.inventory, ms, [this] { read_again(false); });
    // Guards against a change between the reading and the watch's own first look.
    deadlines_.cancel(look_);
    look_ = deadlines_.at(server_.now() + config_.routing.watch, [this] {
        look_ = 0;
        read_again(false);
    });
}

// Subsets, and the calls to a cold server, are shared out evenly among the live processes, as this one sees them. Once a
// second: a member that comes and goes meanwhile moves nothing. A ramp asks who lives, though nobody came or went.
void Gateway::look_at_fleet() {
    deadlines_.cancel(look_at_fleet_);
    look_at_fleet_ = 0;
    const bool ramps = config_.routing.ramp.calls_per_s > 0.0;
    if (!gossip_ || (config_.routing.subset == 0 && !ramps)) return;
    const fleet::View& view = gossip_->view();
    if (const std::uint64_t digest = view.digest(); ramps || digest != fleet_seen_) {
        fleet_seen_ = digest;
        std::vector<std::string> names{view.self().id};
        for (const auto& m : view.members())
            if (m.state == fleet::State::alive || m.state == fleet::State::suspect) names.push_back(m.id);
        upstream_.peers(std::move(names));
    }
    look_at_fleet_ = deadlines_.at(loop_.unix_now() + fleet_every, [this] { look_at_fleet(); });
}

void Gateway::remember(core::Time now) {
    for (std::size_t i = 0; i < store_files; ++i) kept_open_.push_back(descriptors_.take(now, admission::Purpose::file));
    const config::Operator::Learning& l = config_.learning;
    learning::Keeper::Settings s;
    s.folder = l.folder;
    s.whose = learning::identity_of(l.node, config_.settings);
    s.period = l.period;
    s.trust = {l.half_life, l.most_age};
    keeper_ = std::make_unique<learning::Keeper>(loop_, deadlines_, server_, s, [this] { return upstream_.learned(); });
    const learning::Judgement j = keeper_->open(now);
    if (!j.taken) return;
    server_.restore(j.knowledge.learned);
    upstream_.restore(j.knowledge.servers);
}

void Gateway::report() {
    porter_.report(config_.top);
    upstream_.report(config_.top);
    if (keeper_) keeper_->report();
}

void Gateway::leave() {
    doors_.leave();
    if (gossip_) gossip_->leave();
}

// Another process under the same id goes on in its place: the fleet is told nothing, and its port is free at once.
void Gateway::hand_over() {
    doors_.leave();
    deadlines_.cancel(look_at_fleet_);
    gossip_.reset();
}

void Gateway::figures(std::vector<std::pair<std::string, std::uint64_t>>& out) {
    front::control::responses(server_, out);
    front::control::times(server_, out);
    doors_.figures(out);
    out.emplace_back("node.config_applied", applied_);
    out.emplace_back("node.config_rejected", rejected_);
    const upstream::Upstream::Counts& u = upstream_.counts();
    out.emplace_back("upstream.calls", u.calls);
    out.emplace_back("upstream.retries", u.retries);
    out.emplace_back("upstream.servers", upstream_.servers());
    out.emplace_back("upstream.load_probes", u.load_probes);
    out.emplace_back("upstream.loads_heard", u.loads_heard);
    out.emplace_back("upstream.loads_bad", u.loads_bad);
    if (gossip_) gossip_->figures(out);
}

std::optional<std::string> Gateway::fleet(bool brief) {
    if (!gossip_) return std::nullopt;
    return gossip_->document(brief);
}

void Gateway::start() {
    loop_.on_signal(SIGTERM, [this] { leave(); });
    loop_.on_signal(SIGINT, [this] { leave(); });
    loop_.on_signal(SIGUSR2, [this] { hand_over(); });
    loop_.on_signal(SIGHUP, [this] { reload(); });
    loop_.on_signal(SIGUSR1, [this] { report(); });
    spdlog::info("serving: scgi port {}, http port {}", scgi_port_, http_port_);
}

void Gateway::read_again(bool settings) {
    const char* part = "configuration";
    try {
        const auto lease = descriptors_.take(server_.now(), admission::Purpose::file);
        config::Operator fresh =
            config_.path.empty() || !settings ? config_ : config::load_operator(config_.path);
        if (fresh.fixed != config_.fixed)
            throw config::Invalid(config_.path + ": all but inventory, group, connections, admission, routing and "
                                                 "fleet change with a restart only");
        if (!same_member(config_.fleet, fresh.fleet))
            throw config::Invalid(config_.path + ": name, id, gossip and advertise of the fleet change with a restart only");
        fresh.inherited = config_.inherited;
        const admission::Plan plan = plan_for(fresh);
        part = "inventory";
        auto servers = servers_of(fresh);
        const config::InventoryDiff d = config::diff(servers_, servers);
        // Guards against a file that was cut at the end of a row, or written by a tool that found nothing. Another
        // file or group is the operator's own word.
        const bool same_place = fresh.inventory == config_.inventory && fresh.group == config_.group;
        if (same_place && config::too_many_gone(d, servers_.size(), fresh.routing.most_gone))
            throw config::Invalid(fresh.inventory + ": " + std::to_string(d.removed.size()) + " of " +
                                  std::to_string(servers_.size()) + " servers gone, more than most_gone allows");
        // All has been read and checked before the first is used: guards against half a configuration in force.
        const bool moved = fresh.inventory != config_.inventory || fresh.routing.watch != config_.routing.watch;
        const bool rerouted = fresh.routing_text != config_.routing_text;
        config_ = std::move(fresh);
        applied_ += settings || !d.empty() ? 1 : 0;
        if (gossip_ && settings) gossip_->retune(config_.fleet->rules, config_.fleet->seeds);
        if (settings) {
            descriptors_.reshape(plan);
            porter_.reload(fitted(config_.admission, plan));
        }
        if (rerouted) {
            upstream_.retune(config_.routing);
            fleet_seen_ = 0;
            look_at_fleet();
        }
        servers_ = std::move(servers);
        if (!d.empty()) upstream_.use(servers_);
        if (moved) look_at_inventory();
        if (settings || !d.empty())
            spdlog::info("inventory: {} servers in force, version {}: {}", servers_.size(), upstream_.members().version(),
                     d.text(8));
    } catch (const config::Refused& e) {
        ++rejected_;
        for (const std::string& row : e.rows) spdlog::error("{}: the old one stays in force: {}", part, row);
    } catch (const config::Invalid& e) {
        ++rejected_;
        spdlog::error("{}: the old one stays in force: {}", part, e.what());
    }
}

}  // namespace cressledge::upstream
