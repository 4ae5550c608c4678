// Construction, start and shutdown of the gateway. Reloads are in gateway_reload.cpp.
#include "upstream/gateway.hpp"

#include <csignal>
#include <stdexcept>
#include <utility>

#include "base/log.hpp"
#include "frontend/http/http_session.hpp"
#include "frontend/scgi/scgi_session.hpp"
#include "store/background_writer.hpp"
#include "upstream/gateway_descriptors.hpp"

namespace cressledge::upstream {
namespace {

constexpr base::Duration peer_refresh_interval{1'000'000};
constexpr base::Duration gossip_join_retry_delay{50'000};

}  // namespace

UpstreamGateway::UpstreamGateway(net::Loop& loop, base::TimerQueue& timers, base::Clock& clock,
                                 const config::OperatorConfig& config, std::uint64_t seed,
                                 const ExecutorDecorator& decorate_executor)
    : config_(config),
      loop_(loop),
      timers_(timers),
      preopened_descriptors_(count_preopened_descriptors()),
      descriptors_(make_descriptor_plan(config, preopened_descriptors_)),
      request_manager_(config.policy_settings,
                       policy::make_admission_controller(config.policy_settings, seed), clock, timers),
      field_defaults_(seed, config.request_kb),
      connection_admitter_(
          timers, request_manager_, descriptors_,
          fit_to_plan(config.admission, make_descriptor_plan(config, preopened_descriptors_)), seed),
      shutdown_coordinator_(loop, timers, request_manager_, config.stop_delay),
      executor_(loop, timers, request_manager_, clock, descriptors_, config.routing, seed),
      servers_(load_servers(config)) {
    executor_.set_servers(servers_);
    if (decorate_executor)
        decorated_executor_ = decorate_executor(request_manager_, executor_);
    request_manager_.attach(decorated_executor_ ? *decorated_executor_ : executor_, null_records_client_,
                            *this);
    scgi_port_ = add_frontend(Protocol::scgi);
    http_port_ = add_frontend(Protocol::http);
    if (!config.learned_state.directory.empty())
        open_learned_state(clock.unix_now());
    join_gossip(seed);
    open_admin_server();
    request_manager_.start(clock.unix_now());
    if (learned_state_saver_)
        learned_state_saver_->start_saving();
    executor_.start();
    watch_inventory();
}

// Returns the port; 0 if the configuration has no listener for the protocol.
int UpstreamGateway::add_frontend(Protocol protocol) {
    const bool is_scgi = protocol == Protocol::scgi;
    const std::string& address = is_scgi ? config_.scgi_address : config_.http_address;
    if (address.empty())
        return 0;
    const int inherited_fd = is_scgi ? config_.inherited_sockets.scgi : config_.inherited_sockets.http;
    const net::ListenEndpoint endpoint{*net::Address::parse(address), inherited_fd};
    frontend::Frontend::Limits limits;
    limits.request_timeout = config_.request_timeout;
    const auto make_session = [this,
                               is_scgi](frontend::Frontend& owner) -> std::unique_ptr<frontend::Session> {
        if (is_scgi)
            return std::make_unique<frontend::scgi::ScgiSession>(owner, field_defaults_);
        return std::make_unique<frontend::http::HttpSession>(owner, &field_defaults_);
    };
    shutdown_coordinator_.add_frontend(std::make_unique<frontend::Frontend>(
        loop_, timers_, request_manager_, connection_admitter_, endpoint, limits, make_session));
    return shutdown_coordinator_.last_frontend().port();
}

void UpstreamGateway::open_admin_server() {
    const int inherited_fd = config_.inherited_sockets.control;
    if (config_.admin_address.empty() && inherited_fd < 0)
        return;
    const net::Address address = net::Address::parse(config_.admin_address).value_or(net::Address{});
    admin_server_.emplace(loop_, timers_, descriptors_, net::ListenEndpoint{address, inherited_fd}, *this);
}

void UpstreamGateway::open_learned_state(base::Timestamp now) {
    for (std::size_t i = 0; i < store_descriptors; ++i)
        store_file_leases_.push_back(
            descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::file));
    const config::OperatorConfig::LearnedStateConfig& config = config_.learned_state;
    learned_state::LearnedStateSaver::Settings settings;
    settings.directory = config.directory;
    settings.identity = learned_state::identity_of(config.node_name, config_.policy_settings);
    settings.save_interval = config.save_interval;
    settings.confidence_policy = {config.half_life, config.max_age};
    learned_state_files_ = std::make_unique<store::PosixFileSystem>(config.directory);
    learned_state_store_ = std::make_unique<store::Store>(*learned_state_files_);
    const auto make_writer = [this](store::Store& store, store::CommitHandler on_commit) {
        return std::make_unique<store::BackgroundWriter>(loop_.uv(), store, std::move(on_commit));
    };
    learned_state_saver_ = std::make_unique<learned_state::LearnedStateSaver>(
        *learned_state_store_, make_writer, timers_, request_manager_, settings,
        [this] { return executor_.learned_stats(); });
    const learned_state::RestoreResult restored = learned_state_saver_->load(now);
    if (!restored.restored)
        return;
    request_manager_.restore(restored.state.controller_state);
    executor_.restore(restored.state.upstreams);
}

// A process that takes over from another under the same member id retries until the other has closed the gossip port.
void UpstreamGateway::join_gossip(std::uint64_t seed) {
    if (!config_.gossip || request_manager_.draining())
        return;
    try {
        gossip_node_ =
            std::make_unique<gossip::GossipNode>(loop_, timers_, descriptors_, *config_.gossip, seed);
        refresh_peers();
    } catch (const std::runtime_error&) {
        const bool takes_over = config_.inherited_sockets.any();
        if (!takes_over)
            throw;
        gossip_join_timer_ =
            timers_.schedule(loop_.unix_now() + gossip_join_retry_delay, [this, seed] { join_gossip(seed); });
    }
}

// Subsets, and the calls to hosts in slow start, are divided evenly among the live processes as this process sees them.
// A member that joins and leaves within one interval has no effect. With slow start, the peers are passed on in every
// interval, even if the membership has not changed.
void UpstreamGateway::refresh_peers() {
    peer_refresh_timer_.cancel();
    const bool has_slow_start = config_.routing.slow_start.calls_per_s > 0.0;
    const bool has_subsets = config_.routing.subset_size != 0;
    if (!gossip_node_ || (!has_subsets && !has_slow_start))
        return;
    const membership::MembershipTable& membership = gossip_node_->membership();
    const std::uint64_t digest = membership.digest();
    if (has_slow_start || digest != last_membership_digest_) {
        last_membership_digest_ = digest;
        std::vector<std::string> peer_ids{membership.local_member().id};
        for (const auto& member : membership.members())
            if (member.state == membership::MemberState::alive ||
                member.state == membership::MemberState::suspect)
                peer_ids.push_back(member.id);
        executor_.set_peers(std::move(peer_ids));
    }
    peer_refresh_timer_ =
        timers_.schedule(loop_.unix_now() + peer_refresh_interval, [this] { refresh_peers(); });
}

void UpstreamGateway::start() {
    loop_.on_signal(SIGTERM, [this] { begin_graceful_shutdown(); });
    loop_.on_signal(SIGINT, [this] { begin_graceful_shutdown(); });
    loop_.on_signal(SIGUSR2, [this] { hand_over(); });
    loop_.on_signal(SIGHUP, [this] { reload(); });
    loop_.on_signal(SIGUSR1, [this] { log_report(); });
    base::log_info("gateway: serving scgi_port={} http_port={}", scgi_port_, http_port_);
}

void UpstreamGateway::begin_graceful_shutdown() {
    shutdown_coordinator_.begin_graceful_shutdown(frontend::Successor::none);
    if (gossip_node_)
        gossip_node_->leave();
}

void UpstreamGateway::hand_over() {
    shutdown_coordinator_.begin_graceful_shutdown(frontend::Successor::present);
    peer_refresh_timer_.cancel();
    gossip_node_.reset();
}

void UpstreamGateway::save_learned_state() {
    if (learned_state_saver_)
        learned_state_saver_->flush();
}

void UpstreamGateway::log_report() {
    connection_admitter_.log_report(config_.max_reported_sources);
    executor_.log_report(config_.max_reported_sources);
    if (learned_state_saver_)
        learned_state_saver_->log_summary();
}

void UpstreamGateway::collect_metrics(base::Metrics& out) {
    admin::collect_class_metrics(request_manager_, out);
    admin::collect_latency_metrics(request_manager_, out);
    shutdown_coordinator_.collect_connection_metrics(out);
    out.emplace_back("node.config_applied", configurations_applied_);
    out.emplace_back("node.config_rejected", configurations_rejected_);
    const UpstreamExecutor::Counters counters = executor_.counters();
    out.emplace_back("upstream.calls", counters.attempts);
    out.emplace_back("upstream.retries", counters.retries);
    out.emplace_back("upstream.servers", executor_.candidate_count());
    out.emplace_back("upstream.load_probes", counters.load_probes);
    out.emplace_back("upstream.loads_heard", counters.load_reports);
    out.emplace_back("upstream.loads_bad", counters.malformed_load_reports);
    if (gossip_node_)
        gossip_node_->append_metrics(out);
}

std::optional<std::string> UpstreamGateway::membership_json(bool brief) {
    if (!gossip_node_)
        return std::nullopt;
    return gossip_node_->status_json(brief);
}

}  // namespace cressledge::upstream
