// One server on the platform: the HTTP front, the engine, the records service and the directory round the core.
#pragma once

#include <optional>

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

class PlatformNode final : public request::ConnectionSettingsSink, public admin::AdminSource {
public:
    PlatformNode(net::Loop& loop, base::TimerQueue& timers, const config::NodeConfig& config);
    void start();
    void begin_graceful_shutdown();  // the notice to leave
    void reload(const std::string& path);  // new addresses of the peers; a bad file leaves all as it is
    void set_idle_timeout(base::Duration limit) override { shutdown_coordinator_.set_idle_limit(limit); }
    int http_port() { return shutdown_coordinator_.last_frontend().port(); }
    std::size_t generation_count() const { return request_manager_.generation_count(); }
    int admin_port() const { return admin_server_ ? admin_server_->port() : 0; }
    bool is_ready() override;
    void collect_metrics(base::Metrics& out) override;

private:
    const config::NodeConfig config_;  // as at the start
    std::string settings_source_;  // of the settings in force
    net::Loop& loop_;
    const connection_admission::DescriptorPlan descriptor_plan_;
    connection_admission::FileDescriptorBudget descriptors_;
    request::RequestManager request_manager_;
    frontend::ConnectionAdmitter connection_admitter_;
    frontend::ShutdownCoordinator shutdown_coordinator_;
    EngineClient engine_client_;
    RecordsClient records_client_;
    DirectoryReporter directory_reporter_;
    std::optional<admin::AdminServer> admin_server_;
    std::uint64_t configurations_applied_ = 0,
                  configurations_rejected_ = 0;  // files taken and turned down at SIGHUP
};

}  // namespace cressledge::platform
