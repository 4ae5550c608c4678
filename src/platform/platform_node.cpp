#include "platform/platform_node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>

#include "frontend/http/http_session.hpp"

namespace cressledge::platform {
namespace {

constexpr std::uint32_t rejection_slots = 16;
constexpr std::size_t max_reported_sources = 10;  // sources in the report

net::Address parse_address(const char* field, const std::string& text) {
    const auto a = net::Address::parse(text);
    if (!a)
        throw config::ConfigError(std::string(field) + ": not an address: " + text);
    return *a;
}

// Where nothing is called there is no such address: a call that came up all the same would be refused.
net::Address records_address(const config::NodeConfig& c) {
    return c.records_address.empty() ? net::Address{} : parse_address("records", c.records_address);
}

// Callers there cannot be told apart with certainty: nobody is listed and nobody is capped. Callers use half of the
// descriptors; what the rest leaves is for our own links and for connections that are closing.
connection_admission::Settings admission_settings(const config::NodeConfig& c,
                                                  const connection_admission::DescriptorPlan& plan) {
    connection_admission::Settings s;
    s.max_connections = plan.max_connections;
    s.rejection_slots = plan.rejection_slots;
    s.max_retry_after = c.policy_settings.max_retry_after;
    return s;
}
std::size_t max_records_connections(const config::NodeConfig& c) {
    return std::max<std::size_t>(2, c.max_descriptors / 8);
}
connection_admission::DescriptorPlan make_descriptor_plan(const config::NodeConfig& c) {
    connection_admission::DescriptorDemand needs;
    needs.listeners = 1;
    needs.platform_links = 2;
    needs.records = max_records_connections(c);
    needs.rejection_slots = rejection_slots;
    needs.admin = c.admin_address.empty() ? 0 : admin::AdminServer::max_connections + 1;
    return connection_admission::plan_descriptors(c.max_descriptors, c.descriptors_at_start, needs,
                                                  static_cast<std::uint32_t>(c.max_descriptors * 3 / 4));
}

}  // namespace

PlatformNode::PlatformNode(net::Loop& loop, base::TimerQueue& timers, const config::NodeConfig& c)
    : config_(c),
      settings_source_(c.settings_json),
      loop_(loop),
      descriptor_plan_(make_descriptor_plan(c)),
      descriptors_(descriptor_plan_),
      request_manager_(c.policy_settings, policy::make_admission_controller(c.policy_settings, c.seed), loop,
                       timers),
      connection_admitter_(timers, request_manager_, descriptors_, admission_settings(c, descriptor_plan_),
                           c.seed),
      shutdown_coordinator_(loop, timers, request_manager_, c.stop_delay),
      engine_client_(loop, timers, parse_address("engine", c.engine_address), request_manager_, descriptors_,
                     c.gauge_names),
      records_client_(loop, timers, records_address(c), max_records_connections(c), request_manager_,
                      descriptors_),
      directory_reporter_(loop, timers, parse_address("lookup", c.directory_address), descriptors_, c.name) {
    frontend::Frontend::Limits limits;
    // Callers close what has rested that long; those that never do are let go a little later.
    if (c.policy_settings.idle_timeout > base::Duration(0))
        limits.idle_timeout = c.policy_settings.idle_timeout + base::Duration(1'000'000);
    shutdown_coordinator_.add_frontend(std::make_unique<frontend::Frontend>(
        loop, timers, request_manager_, connection_admitter_,
        net::ListenEndpoint{parse_address("listen", c.listen_address), c.inherited_listener_fd}, limits,
        [](frontend::Frontend& f) { return std::make_unique<frontend::http::HttpSession>(f); }));
    request_manager_.attach(engine_client_, records_client_, *this);
    if (!c.admin_address.empty())
        admin_server_.emplace(loop, timers, descriptors_,
                              net::ListenEndpoint{parse_address("control", c.admin_address)}, *this);
}

bool PlatformNode::is_ready() {
    return request_manager_.started() && !request_manager_.draining();
}

void PlatformNode::collect_metrics(base::Metrics& out) {
    admin::collect_class_metrics(request_manager_, out);
    shutdown_coordinator_.collect_connection_metrics(out);
    out.emplace_back("node.config_applied", configurations_applied_);
    out.emplace_back("node.config_rejected", configurations_rejected_);
}

void PlatformNode::start() {
    loop_.on_signal(SIGTERM, [this] { begin_graceful_shutdown(); });
    loop_.on_signal(SIGINT, [this] { begin_graceful_shutdown(); });
    loop_.on_signal(SIGUSR1, [this] { connection_admitter_.log_report(max_reported_sources); });
    engine_client_.connect();
    directory_reporter_.report(true);
    spdlog::info("serving");
}

void PlatformNode::reload(const std::string& path) {
    try {
        const auto lease =
            descriptors_.try_acquire(request_manager_.now(), connection_admission::DescriptorPurpose::file);
        const config::NodeConfig c = config::load_node_config(path);
        if (c.name != config_.name || c.listen_address != config_.listen_address)
            throw config::ConfigError(path + ": name and listen change with a restart only");
        // All are read before the first is used: guards against half a configuration in force.
        const net::Address engine = parse_address("engine", c.engine_address), records = records_address(c),
                           lookup = parse_address("lookup", c.directory_address);
        spdlog::info("configuration: in force: engine {}, records {}, lookup {}", c.engine_address,
                     c.records_address, c.directory_address);
        engine_client_.set_address(engine);
        records_client_.set_address(records);
        directory_reporter_.set_address(lookup);
        if (c.settings_json != settings_source_) {
            request_manager_.reconfigure(c.policy_settings,
                                         policy::make_admission_controller(c.policy_settings, c.seed));
            settings_source_ = c.settings_json;
        }
        ++configurations_applied_;
    } catch (const std::exception& e) {
        ++configurations_rejected_;
        spdlog::error("configuration: the old one stays in force: {}", e.what());
    }
}

void PlatformNode::begin_graceful_shutdown() {
    shutdown_coordinator_.start_graceful_shutdown();
    directory_reporter_.report(false);
}

}  // namespace cressledge::platform
