// One server of the platform. Connects the HTTP frontend, the engine client, the records client, the directory reporter
// and the admin address to the request manager.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "admin/admin_server.hpp"
#include "base/metric.hpp"
#include "config/node.hpp"
#include "frontend/connection_admitter.hpp"
#include "frontend/shutdown_coordinator.hpp"
#include "platform/directory_reporter.hpp"
#include "platform/engine_client.hpp"
#include "platform/records_client.hpp"
#include "request/request_manager.hpp"

namespace cressledge::platform {

/// Owns all components of the server. Accepts and sends nothing before start().
class PlatformNode final : public request::ConnectionSettingsSink, public admin::AdminSource {
public:
    /// Throws config::ConfigError if an address is invalid, and net::SocketError if listening on an address fails.
    PlatformNode(net::Loop& loop, base::TimerQueue& timers, const config::NodeConfig& config);

    /// Installs the signal handlers, opens the link to the engine and starts reporting to the directory.
    void start();

    /// Reports mode `closed` to the directory, answers the requests already read, and stops the loop. New connections on
    /// an inherited listening socket are left to another process that accepts them.
    void begin_graceful_shutdown();

    /// Reloads the configuration file and applies changed addresses and settings. An invalid file changes nothing and
    /// is logged and counted.
    void reload(const std::string& path);

    /// request::ConnectionSettingsSink: sets the idle timeout of the callers' connections, as an action of the
    /// admission controller requires.
    void set_idle_timeout(base::Duration timeout) override { shutdown_coordinator_.set_idle_limit(timeout); }
    /// admin::AdminSource: returns whether the request manager has started and is not draining.
    bool is_ready() override;
    /// admin::AdminSource: appends the counts of each request class, of connections, of dependency calls in flight, of settings
    /// generations, and of configurations applied and rejected.
    void collect_metrics(base::Metrics& out) override;

    /// The port that callers connect to.
    int http_port() { return shutdown_coordinator_.last_frontend().port(); }

    /// The port of the admin address; 0 if there is none.
    int admin_port() const { return admin_server_ ? admin_server_->port() : 0; }

    /// The number of settings generations in use: the newest, and those that still have open requests.
    std::size_t generation_count() const { return request_manager_.generation_count(); }

private:
    void add_http_frontend();
    void apply(const config::NodeConfig& new_config);

    /// The configuration at startup; reloads do not change it.
    const config::NodeConfig config_;
    /// The JSON text of the current settings.
    std::string settings_json_;
    net::Loop& loop_;
    base::TimerQueue& timers_;
    const connection_admission::DescriptorPlan descriptor_plan_;
    connection_admission::FileDescriptorBudget descriptors_;
    /// Shared by the admission controllers of all settings generations.
    const std::shared_ptr<policy::ServerResources> resources_;
    request::RequestManager request_manager_;
    frontend::ConnectionAdmitter connection_admitter_;
    frontend::ShutdownCoordinator shutdown_coordinator_;
    EngineClient engine_client_;
    RecordsClient records_client_;
    DirectoryReporter directory_reporter_;
    std::optional<admin::AdminServer> admin_server_;
    std::uint64_t configurations_applied_ = 0;
    std::uint64_t configurations_rejected_ = 0;
};

}  // namespace cressledge::platform
