#include "upstream/gateway.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>

#include "frontend/http/http_session.hpp"
#include "frontend/scgi/scgi_session.hpp"

namespace cressledge::upstream {

std::vector<config::Upstream> load_servers(const config::OperatorConfig& o) {
    std::vector<config::Upstream> all = config::load_inventory(o.inventory_path);
    std::erase_if(all,
                  [&o](const auto& u) { return !o.server_group.empty() && !u.belongs_to(o.server_group); });
    if (all.empty())
        throw config::ConfigError(
            o.inventory_path + ": " +
            (o.server_group.empty() ? "no servers" : "no server in group " + o.server_group));
    return all;
}

namespace {

constexpr base::Duration peer_refresh_interval{1'000'000}, gossip_join_retry_delay{50'000};
constexpr std::size_t probe_descriptors = 16;  // of servers, at a time
constexpr std::size_t store_descriptors = 3;  // the lock, the log, and what is written for a moment
constexpr std::size_t signal_pipe_descriptors =
    2;  // libuv's own, opened with the first signal that is asked for

connection_admission::Settings fit_to_plan(connection_admission::Settings s,
                                           const connection_admission::DescriptorPlan& plan) {
    if (plan.max_connections < s.max_connections)
        spdlog::warn("admission: room for {} of {} connections: {} descriptors", plan.max_connections,
                     s.max_connections, plan.limit);
    s.max_connections = plan.max_connections;
    s.rejection_slots = plan.rejection_slots;
    return s;
}

// Whether a process goes on as the same member of the same fleet.
bool is_same_member(const std::optional<gossip::Settings>& a, const std::optional<gossip::Settings>& b) {
    if (!a || !b)
        return a.has_value() == b.has_value();
    return a->fleet_name == b->fleet_name && a->member_id == b->member_id && a->listen == b->listen &&
           a->advertise == b->advertise;
}

}  // namespace

connection_admission::DescriptorPlan UpstreamGateway::descriptor_plan(const config::OperatorConfig& o) const {
    const connection_admission::Settings& s = o.admission;
    connection_admission::DescriptorDemand needs;
    needs.listeners = (o.scgi_address.empty() ? 0U : 1U) + (o.http_address.empty() ? 0U : 1U);
    needs.rejection_slots = s.rejection_slots;
    needs.admin = o.admin_address.empty() && o.inherited_sockets.control < 0
                      ? 0
                      : admin::AdminServer::max_connections + 1;
    needs.gossip = o.gossip ? gossip::GossipNode::descriptors_needed : 0;
    needs.open_files = o.learned_state.directory.empty() ? 0 : store_descriptors;
    needs.upstream = (s.max_in_flight_requests == 0 ? s.max_connections : s.max_in_flight_requests) +
                     o.routing.max_idle_connections + probe_descriptors;
    needs.min_upstream = static_cast<std::size_t>(o.policy_settings.cores) * 2;
    for (const connection_admission::ClientGroup& g : s.groups)
        needs.reserved_connections += g.reserved_connections;
    // What the operator allows the process, and never more than the system lets it have.
    const std::size_t system = net::descriptor_limit();
    const std::size_t limit = o.max_descriptors == 0 ? system : std::min(o.max_descriptors, system);
    try {
        return connection_admission::plan_descriptors(limit, preopened_descriptors_, needs,
                                                      s.max_connections);
    } catch (const std::invalid_argument& e) {
        throw config::ConfigError(o.path + ": admission: " + e.what());
    }
}

UpstreamGateway::UpstreamGateway(net::Loop& loop, base::TimerQueue& timers, base::Clock& clock,
                                 const config::OperatorConfig& c, std::uint64_t seed,
                                 const ExecutorDecorator& wrap)
    : config_(c),
      loop_(loop),
      timers_(timers),
      preopened_descriptors_(net::count_open_descriptors() + signal_pipe_descriptors),
      descriptors_(descriptor_plan(c)),
      request_manager_(c.policy_settings, policy::make_admission_controller(c.policy_settings, seed), clock,
                       timers),
      supply_(seed, c.request_kb),
      connection_admitter_(timers, request_manager_, descriptors_,
                           fit_to_plan(c.admission, descriptor_plan(c)), seed),
      shutdown_coordinator_(loop, timers, request_manager_, c.stop_delay),
      executor_(loop, timers, request_manager_, clock, descriptors_, c.routing, seed) {
    servers_ = load_servers(c);
    executor_.set_servers(servers_);
    if (wrap)
        decorated_executor_ = wrap(request_manager_, executor_);
    request_manager_.attach(decorated_executor_ ? *decorated_executor_ : executor_, null_records_client_,
                            *this);
    frontend::Frontend::Limits limits;
    limits.request_timeout = c.request_timeout;
    const auto open = [&](const std::string& where, bool scgi) {
        if (where.empty())
            return 0;
        shutdown_coordinator_.add_frontend(std::make_unique<frontend::Frontend>(
            loop, timers, request_manager_, connection_admitter_,
            net::ListenEndpoint{*net::Address::parse(where),
                                scgi ? c.inherited_sockets.scgi : c.inherited_sockets.http},
            limits, [this, scgi](frontend::Frontend& f) -> std::unique_ptr<frontend::Session> {
                if (scgi)
                    return std::make_unique<frontend::scgi::ScgiSession>(f, supply_);
                return std::make_unique<frontend::http::HttpSession>(f, &supply_);
            }));
        return shutdown_coordinator_.last_frontend().port();
    };
    scgi_port_ = open(c.scgi_address, true);
    http_port_ = open(c.http_address, false);
    if (!c.learned_state.directory.empty())
        open_learned_state(clock.unix_now());
    join_gossip(seed);
    if (!c.admin_address.empty() || c.inherited_sockets.control >= 0)
        admin_server_.emplace(
            loop, timers, descriptors_,
            net::ListenEndpoint{net::Address::parse(c.admin_address).value_or(net::Address{}),
                                c.inherited_sockets.control},
            *this);
    request_manager_.start(clock.unix_now());
    if (learned_state_saver_)
        learned_state_saver_->start_saving();
    executor_.start();
    watch_inventory();
}

// A process that takes over from another under its id finds the gossip port in use until that one has let it go.
void UpstreamGateway::join_gossip(std::uint64_t seed) {
    gossip_join_timer_ = 0;
    if (!config_.gossip || request_manager_.draining())
        return;
    const bool takes_over = config_.inherited_sockets.any();
    try {
        gossip_node_ =
            std::make_unique<gossip::GossipNode>(loop_, timers_, descriptors_, *config_.gossip, seed);
        refresh_peers();
    } catch (const std::runtime_error&) {
        if (!takes_over)
            throw;
        gossip_join_timer_ =
            timers_.schedule(loop_.unix_now() + gossip_join_retry_delay, [this, seed] { join_gossip(seed); });
    }
}

void UpstreamGateway::watch_inventory() {
    inventory_watcher_.reset();
    const auto ms = static_cast<unsigned>(config_.routing.inventory_poll_interval.count() / 1000);
    if (ms == 0)
        return;
    inventory_watcher_ = std::make_unique<net::FileWatcher>(loop_.uv(), config_.inventory_path, ms,
                                                            [this] { reload_files(false); });
    // Guards against a change between the reading and the watch's own first look.
    timers_.cancel(inventory_recheck_timer_);
    inventory_recheck_timer_ =
        timers_.schedule(request_manager_.now() + config_.routing.inventory_poll_interval, [this] {
            inventory_recheck_timer_ = 0;
            reload_files(false);
        });
}

// Subsets, and the calls to a cold server, are shared out evenly among the live processes, as this one sees them. Once a
// second: a member that comes and goes meanwhile moves nothing. A ramp asks who lives, though nobody came or went.
void UpstreamGateway::refresh_peers() {
    timers_.cancel(peer_refresh_timer_);
    peer_refresh_timer_ = 0;
    const bool ramps = config_.routing.slow_start.calls_per_s > 0.0;
    if (!gossip_node_ || (config_.routing.subset_size == 0 && !ramps))
        return;
    const membership::MembershipTable& view = gossip_node_->membership();
    if (const std::uint64_t digest = view.digest(); ramps || digest != last_peer_digest_) {
        last_peer_digest_ = digest;
        std::vector<std::string> names{view.local_member().id};
        for (const auto& m : view.members())
            if (m.state == membership::MemberState::alive || m.state == membership::MemberState::suspect)
                names.push_back(m.id);
        executor_.set_peers(std::move(names));
    }
    peer_refresh_timer_ =
        timers_.schedule(loop_.unix_now() + peer_refresh_interval, [this] { refresh_peers(); });
}

void UpstreamGateway::open_learned_state(base::Timestamp now) {
    for (std::size_t i = 0; i < store_descriptors; ++i)
        store_file_leases_.push_back(
            descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::file));
    const config::OperatorConfig::LearnedStateConfig& l = config_.learned_state;
    learned_state::LearnedStateSaver::Settings s;
    s.directory = l.directory;
    s.identity = learned_state::identity_of(l.node_name, config_.policy_settings);
    s.save_interval = l.save_interval;
    s.confidence_policy = {l.half_life, l.max_age};
    learned_state_saver_ = std::make_unique<learned_state::LearnedStateSaver>(
        loop_, timers_, request_manager_, s, [this] { return executor_.learned(); });
    const learned_state::RestoreResult j = learned_state_saver_->load(now);
    if (!j.restored)
        return;
    request_manager_.restore(j.state.controller_state);
    executor_.restore(j.state.upstreams);
}

void UpstreamGateway::log_report() {
    connection_admitter_.log_report(config_.max_reported_sources);
    executor_.log_report(config_.max_reported_sources);
    if (learned_state_saver_)
        learned_state_saver_->log_summary();
}

void UpstreamGateway::begin_graceful_shutdown() {
    shutdown_coordinator_.start_graceful_shutdown();
    if (gossip_node_)
        gossip_node_->leave();
}

// Another process under the same id goes on in its place: the fleet is told nothing, and its port is free at once.
void UpstreamGateway::hand_over() {
    shutdown_coordinator_.start_graceful_shutdown();
    timers_.cancel(peer_refresh_timer_);
    gossip_node_.reset();
}

void UpstreamGateway::collect_metrics(base::Metrics& out) {
    admin::collect_class_metrics(request_manager_, out);
    admin::collect_latency_metrics(request_manager_, out);
    shutdown_coordinator_.collect_connection_metrics(out);
    out.emplace_back("node.config_applied", configurations_applied_);
    out.emplace_back("node.config_rejected", configurations_rejected_);
    const upstream::UpstreamExecutor::Counters& u = executor_.counters();
    out.emplace_back("upstream.calls", u.attempts);
    out.emplace_back("upstream.retries", u.retries);
    out.emplace_back("upstream.servers", executor_.candidate_count());
    out.emplace_back("upstream.load_probes", u.load_probes);
    out.emplace_back("upstream.loads_heard", u.load_reports);
    out.emplace_back("upstream.loads_bad", u.malformed_load_reports);
    if (gossip_node_)
        gossip_node_->append_metrics(out);
}

std::optional<std::string> UpstreamGateway::membership_json(bool brief) {
    if (!gossip_node_)
        return std::nullopt;
    return gossip_node_->status_json(brief);
}

void UpstreamGateway::start() {
    loop_.on_signal(SIGTERM, [this] { begin_graceful_shutdown(); });
    loop_.on_signal(SIGINT, [this] { begin_graceful_shutdown(); });
    loop_.on_signal(SIGUSR2, [this] { hand_over(); });
    loop_.on_signal(SIGHUP, [this] { reload(); });
    loop_.on_signal(SIGUSR1, [this] { log_report(); });
    spdlog::info("serving: scgi port {}, http port {}", scgi_port_, http_port_);
}

void UpstreamGateway::reload_files(bool settings) {
    const char* part = "configuration";
    try {
        const auto lease =
            descriptors_.try_acquire(request_manager_.now(), connection_admission::DescriptorPurpose::file);
        config::OperatorConfig fresh =
            config_.path.empty() || !settings ? config_ : config::load_operator_config(config_.path);
        if (fresh.restart_only_yaml != config_.restart_only_yaml)
            throw config::ConfigError(config_.path +
                                      ": all but inventory, group, connections, admission, routing and "
                                      "fleet change with a restart only");
        if (!is_same_member(config_.gossip, fresh.gossip))
            throw config::ConfigError(
                config_.path + ": name, id, gossip and advertise of the fleet change with a restart only");
        fresh.inherited_sockets = config_.inherited_sockets;
        const connection_admission::DescriptorPlan plan = descriptor_plan(fresh);
        part = "inventory";
        auto servers = load_servers(fresh);
        const config::InventoryDiff d = config::diff_inventories(servers_, servers);
        // Guards against a file that was cut at the end of a row, or written by a tool that found nothing. Another
        // file or group is the operator's own word.
        const bool same_place =
            fresh.inventory_path == config_.inventory_path && fresh.server_group == config_.server_group;
        if (same_place &&
            config::exceeds_removal_limit(d, servers_.size(), fresh.routing.max_removed_fraction))
            throw config::ConfigError(fresh.inventory_path + ": " + std::to_string(d.removed.size()) +
                                      " of " + std::to_string(servers_.size()) +
                                      " servers gone, more than most_gone allows");
        // All has been read and checked before the first is used: guards against half a configuration in force.
        const bool moved = fresh.inventory_path != config_.inventory_path ||
                           fresh.routing.inventory_poll_interval != config_.routing.inventory_poll_interval;
        const bool rerouted = fresh.routing_yaml != config_.routing_yaml;
        config_ = std::move(fresh);
        configurations_applied_ += settings || !d.is_empty() ? 1 : 0;
        if (gossip_node_ && settings)
            gossip_node_->reconfigure(config_.gossip->membership, config_.gossip->seeds);
        if (settings) {
            descriptors_.reconfigure(plan);
            connection_admitter_.reload(fit_to_plan(config_.admission, plan));
        }
        if (rerouted) {
            executor_.reconfigure(config_.routing);
            last_peer_digest_ = 0;
            refresh_peers();
        }
        servers_ = std::move(servers);
        if (!d.is_empty())
            executor_.set_servers(servers_);
        if (moved)
            watch_inventory();
        if (settings || !d.is_empty())
            spdlog::info("inventory: {} servers in force, version {}: {}", servers_.size(),
                         executor_.hosts().inventory_version(), d.summary(8));
    } catch (const config::InventoryError& e) {
        ++configurations_rejected_;
        for (const std::string& row : e.row_errors)
            spdlog::error("{}: the old one stays in force: {}", part, row);
    } catch (const config::ConfigError& e) {
        ++configurations_rejected_;
        spdlog::error("{}: the old one stays in force: {}", part, e.what());
    }
}

}  // namespace cressledge::upstream
