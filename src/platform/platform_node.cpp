#include "platform/platform_node.hpp"

#include <algorithm>
#include <csignal>

#include "base/log.hpp"
#include "frontend/http/http_session.hpp"

namespace cressledge::platform {
namespace {

constexpr std::uint32_t rejection_slots = 16;
/// Limits the sources that the connection report lists.
constexpr std::size_t max_reported_sources = 10;
/// Added to the idle timeout that callers observe, so that well-behaved callers close a connection first.
constexpr base::Duration idle_timeout_margin{1'000'000};

net::Address parse_address(const char* field, const std::string& text) {
    const auto address = net::Address::parse(text);
    if (!address)
        throw config::ConfigError(std::string(field) + ": not an IP address with a port: " + text);
    return *address;
}

// The address is empty if no request class calls the dependency; a call made nevertheless would be refused.
net::Address records_address(const config::NodeConfig& config) {
    return config.records_address.empty() ? net::Address{} : parse_address("records", config.records_address);
}

// The platform's callers cannot be identified reliably, so there are no client groups and no limits by source.
connection_admission::Settings admission_settings(const config::NodeConfig& config,
                                                  const connection_admission::DescriptorPlan& plan) {
    connection_admission::Settings settings;
    settings.max_connections = plan.max_connections;
    settings.rejection_slots = plan.rejection_slots;
    settings.max_retry_after = config.policy_settings.max_retry_after;
    return settings;
}

std::size_t max_records_connections(const config::NodeConfig& config) {
    return std::max<std::size_t>(2, config.max_descriptors / 8);
}

// A quarter of the descriptors is left for the connections to peers and for connections that are closing.
connection_admission::DescriptorPlan make_descriptor_plan(const config::NodeConfig& config) {
    connection_admission::DescriptorDemand demand;
    demand.listeners = 1;
    demand.platform_links = 2;
    demand.records = max_records_connections(config);
    demand.rejection_slots = rejection_slots;
    demand.admin = config.admin_address.empty() ? 0 : admin::AdminServer::max_connections + 1;
    const auto max_connections = static_cast<std::uint32_t>(config.max_descriptors * 3 / 4);
    return connection_admission::plan_descriptors(config.max_descriptors, config.descriptors_at_start, demand,
                                                  max_connections);
}

}  // namespace

PlatformNode::PlatformNode(net::Loop& loop, base::TimerQueue& timers, const config::NodeConfig& config)
    : config_(config),
      settings_json_(config.settings_json),
      loop_(loop),
      timers_(timers),
      descriptor_plan_(make_descriptor_plan(config)),
      descriptors_(descriptor_plan_),
      resources_(policy::make_server_resources(config.policy_settings)),
      request_manager_(config.policy_settings,
                       policy::make_admission_controller(config.policy_settings, config.seed, resources_),
                       loop, timers),
      connection_admitter_(timers, request_manager_, descriptors_,
                           admission_settings(config, descriptor_plan_), config.seed),
      shutdown_coordinator_(loop, timers, request_manager_, config.stop_delay),
      engine_client_(loop, timers, parse_address("engine", config.engine_address), request_manager_,
                     descriptors_, config.gauge_names),
      records_client_(loop, timers, records_address(config), max_records_connections(config),
                      request_manager_, descriptors_),
      directory_reporter_(loop, timers, parse_address("lookup", config.directory_address), descriptors_,
                          config.name) {
    add_http_frontend();
    request_manager_.attach(engine_client_, records_client_, *this);
    if (!config.admin_address.empty())
        admin_server_.emplace(loop, timers, descriptors_,
                              net::ListenEndpoint{parse_address("control", config.admin_address)}, *this);
}

void PlatformNode::add_http_frontend() {
    frontend::Frontend::Limits limits;
    const base::Duration idle_timeout = config_.policy_settings.idle_timeout;
    if (idle_timeout > base::Duration(0))
        limits.idle_timeout = idle_timeout + idle_timeout_margin;
    const net::ListenEndpoint endpoint{parse_address("listen", config_.listen_address),
                                       config_.inherited_listener_fd};
    const auto make_session = [](frontend::Frontend& owner) {
        return std::make_unique<frontend::http::HttpSession>(owner);
    };
    shutdown_coordinator_.add_frontend(std::make_unique<frontend::Frontend>(
        loop_, timers_, request_manager_, connection_admitter_, endpoint, limits, make_session));
}

bool PlatformNode::is_ready() {
    return request_manager_.started() && !request_manager_.draining();
}

void PlatformNode::collect_metrics(base::Metrics& out) {
    admin::collect_class_metrics(request_manager_, out);
    shutdown_coordinator_.collect_connection_metrics(out);
    out.emplace_back("node.calls_in_flight", request_manager_.dependency_calls_in_flight());
    out.emplace_back("node.settings_generations", request_manager_.generation_count());
    out.emplace_back("node.config_applied", configurations_applied_);
    out.emplace_back("node.config_rejected", configurations_rejected_);
}

void PlatformNode::start() {
    loop_.on_signal(SIGTERM, [this] { begin_graceful_shutdown(); });
    loop_.on_signal(SIGINT, [this] { begin_graceful_shutdown(); });
    loop_.on_signal(SIGUSR1, [this] { connection_admitter_.log_report(max_reported_sources); });
    engine_client_.connect();
    directory_reporter_.report(DirectoryReporter::Mode::open);
    base::log_info("platform: serving");
}

void PlatformNode::reload(const std::string& path) {
    try {
        const auto lease =
            descriptors_.try_acquire(request_manager_.now(), connection_admission::DescriptorPurpose::file);
        const config::NodeConfig new_config = config::load_node_config(path);
        if (new_config.name != config_.name || new_config.listen_address != config_.listen_address)
            throw config::ConfigError(path + ": name and listen require a restart");
        apply(new_config);
        ++configurations_applied_;
    } catch (const std::exception& error) {
        ++configurations_rejected_;
        base::log_error("configuration: reload rejected error=\"{}\"", error.what());
    }
}

// Parses all addresses before applying any, so that a configuration is never applied in part.
void PlatformNode::apply(const config::NodeConfig& new_config) {
    const net::Address engine = parse_address("engine", new_config.engine_address);
    const net::Address records = records_address(new_config);
    const net::Address directory = parse_address("lookup", new_config.directory_address);
    base::log_info("configuration: applied engine={} records={} directory={}", new_config.engine_address,
                   new_config.records_address, new_config.directory_address);
    engine_client_.set_address(engine);
    records_client_.set_address(records);
    directory_reporter_.set_address(directory);
    if (new_config.settings_json == settings_json_)
        return;
    request_manager_.reconfigure(
        new_config.policy_settings,
        policy::make_admission_controller(new_config.policy_settings, new_config.seed, resources_));
    settings_json_ = new_config.settings_json;
}

void PlatformNode::begin_graceful_shutdown() {
    // The platform sends the same signal for an upgrade and for a stop.
    shutdown_coordinator_.begin_graceful_shutdown(frontend::Successor::unknown);
    directory_reporter_.report(DirectoryReporter::Mode::closed);
}

}  // namespace cressledge::platform
