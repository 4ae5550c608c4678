// One server on the platform: it wires the HTTP frontend, the engine link, the records client, the directory reporter
// and the admin address around the request manager.
#pragma once

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

/// Owns all parts of the server. Nothing is accepted or sent before start().
class PlatformNode final : public request::ConnectionSettingsSink, public admin::AdminSource {
public:
    /// Throws config::ConfigError when an address cannot be read, and net::SocketError when one cannot be listened on.
    PlatformNode(net::Loop& loop, base::TimerQueue& timers, const config::NodeConfig& config);

    /// Installs the signal handlers, opens the engine link and reports to the directory.
    void start();

    /// Reports to the directory that the server closes, answers what has been read, and ends the loop.
    void begin_graceful_shutdown();

    /// Reads the configuration again: new addresses of the peers, new settings. An invalid file changes nothing.
    void reload(const std::string& path);

    /// request::ConnectionSettingsSink: the idle timeout of the callers' connections, set by an
    /// action of the admission controller.
    void set_idle_timeout(base::Duration timeout) override { shutdown_coordinator_.set_idle_limit(timeout); }
    /// admin::AdminSource: whether the request manager has started and is not draining.
    bool is_ready() override;
    /// admin::AdminSource: counts of each class, of connections, and of configurations
    /// applied and rejected.
    void collect_metrics(base::Metrics& out) override;

    /// The port that callers connect to.
    int http_port() { return shutdown_coordinator_.last_frontend().port(); }

    /// The port of the admin address; 0 where there is none.
    int admin_port() const { return admin_server_ ? admin_server_->port() : 0; }

    /// Settings generations that have open requests, and the newest.
    std::size_t generation_count() const { return request_manager_.generation_count(); }

private:
    void add_http_frontend();
    void apply(const config::NodeConfig& new_config);

    /// As it was at the start.
    const config::NodeConfig config_;
    /// The text of the settings in force.
    std::string settings_json_;
    net::Loop& loop_;
    base::TimerQueue& timers_;
    const connection_admission::DescriptorPlan descriptor_plan_;
    connection_admission::FileDescriptorBudget descriptors_;
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
