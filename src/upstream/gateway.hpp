// The operator's set-up: SCGI and HTTP frontends in front of the request manager, upstream hosts of the inventory behind
// it, and around it gossip, learned state, the admin address and configuration reloads.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/admin_server.hpp"
#include "base/metric.hpp"
#include "config/operator.hpp"
#include "frontend/connection_admitter.hpp"
#include "frontend/request_fields.hpp"
#include "frontend/shutdown_coordinator.hpp"
#include "gossip/gossip_node.hpp"
#include "learned_state/learned_state_saver.hpp"
#include "net/file_watcher.hpp"
#include "request/request_manager.hpp"
#include "store/posix_file_system.hpp"
#include "store/store.hpp"
#include "upstream/executor.hpp"

namespace cressledge::upstream {

/// Stands in where runs make no dependency calls.
class NullRecordsClient final : public request::DependencyClient {
public:
    void call(request::RequestId, std::string_view, std::string_view, base::Timestamp) override {}
    void abandon(request::RequestId) override {}
};

/// Owns all parts of the server, and wires them up.
class UpstreamGateway final : public request::ConnectionSettingsSink, public admin::AdminSource {
public:
    /// Makes an executor that stands between the request manager and `inner`: for programs that inject faults.
    using ExecutorDecorator = std::function<std::unique_ptr<request::Executor>(
        request::RequestManager& request_manager, request::Executor& inner)>;

    /// Listens from here on. Decisions go by `clock`. Throws config::ConfigError, and std::runtime_error where a socket
    /// or the store cannot be opened.
    UpstreamGateway(net::Loop& loop, base::TimerQueue& timers, base::Clock& clock,
                    const config::OperatorConfig& config, std::uint64_t seed,
                    const ExecutorDecorator& decorate_executor = {});
    UpstreamGateway(const UpstreamGateway&) = delete;
    UpstreamGateway& operator=(const UpstreamGateway&) = delete;

    /// Installs the signal handlers.
    void start();

    /// Tells the fleet, answers what has been read, and ends the loop.
    void begin_graceful_shutdown();

    /// The same, for a process that continues under this one's member id: the fleet is not told, and the gossip port is
    /// free at once.
    void hand_over();

    /// Reads the operator's file, if there is one, and the inventory again. Invalid files change nothing.
    void reload() { reload_files(ReloadScope::all_files); }

    /// To be called after the loop has ended.
    void save_learned_state();

    /// Logs the state of the hosts and the counters of calls and connections.
    void log_report();

    void set_idle_timeout(base::Duration timeout) override { shutdown_coordinator_.set_idle_limit(timeout); }
    bool is_ready() override { return request_manager_.started() && !request_manager_.draining(); }
    void collect_metrics(base::Metrics& out) override;
    std::optional<std::string> membership_json(bool brief) override;

    const UpstreamExecutor& executor() const { return executor_; }
    request::RequestManager& request_manager() { return request_manager_; }
    frontend::ConnectionAdmitter& connection_admitter() { return connection_admitter_; }
    connection_admission::FileDescriptorBudget& descriptors() { return descriptors_; }

    /// Null where nothing is saved.
    learned_state::LearnedStateSaver* learned_state_saver() { return learned_state_saver_.get(); }

    /// Null where the process belongs to no fleet.
    gossip::GossipNode* gossip_node() { return gossip_node_.get(); }

    /// Ports of the listeners; 0 where there is none.
    int scgi_port() const { return scgi_port_; }
    int http_port() const { return http_port_; }
    int admin_port() const { return admin_server_ ? admin_server_->port() : 0; }

private:
    enum class Protocol { scgi, http };
    enum class ReloadScope { all_files, inventory_only };

    /// Files that have been read and checked, before anything of them is used.
    struct Reload {
        config::OperatorConfig config;
        connection_admission::DescriptorPlan plan;
        std::vector<config::Upstream> servers;
        config::InventoryDiff difference;
    };

    int add_frontend(Protocol protocol);
    void open_admin_server();
    void open_learned_state(base::Timestamp now);
    void join_gossip(std::uint64_t seed);
    void refresh_peers();

    void watch_inventory();
    void reload_files(ReloadScope scope);
    config::OperatorConfig read_configuration(ReloadScope scope) const;
    void check_reload(const Reload& reload) const;
    void apply(Reload reload, ReloadScope scope);

    config::OperatorConfig config_;
    net::Loop& loop_;
    base::TimerQueue& timers_;
    const std::size_t preopened_descriptors_;
    connection_admission::FileDescriptorBudget descriptors_;
    request::RequestManager request_manager_;
    frontend::FieldDefaults field_defaults_;
    frontend::ConnectionAdmitter connection_admitter_;
    frontend::ShutdownCoordinator shutdown_coordinator_;
    NullRecordsClient null_records_client_;
    UpstreamExecutor executor_;
    std::unique_ptr<request::Executor> decorated_executor_;
    /// In force.
    std::vector<config::Upstream> servers_;
    std::unique_ptr<net::FileWatcher> inventory_watcher_;
    /// Of the membership that the executor was last told of.
    std::uint64_t last_peer_digest_ = 0;
    std::vector<connection_admission::FileDescriptorBudget::Lease> store_file_leases_;
    /// What the saver keeps the learned state in; null where nothing is saved.
    std::unique_ptr<store::PosixFileSystem> learned_state_files_;
    std::unique_ptr<store::Store> learned_state_store_;
    std::unique_ptr<learned_state::LearnedStateSaver> learned_state_saver_;
    std::unique_ptr<gossip::GossipNode> gossip_node_;
    std::optional<admin::AdminServer> admin_server_;
    std::uint64_t configurations_applied_ = 0;
    std::uint64_t configurations_rejected_ = 0;
    int scgi_port_ = 0;
    int http_port_ = 0;
    // Last, to be cancelled first: the saver runs the loop until its last commit has ended.
    base::TimerHandle inventory_recheck_timer_;
    base::TimerHandle peer_refresh_timer_;
    base::TimerHandle gossip_join_timer_;
};

/// The servers of the inventory that the configuration asks for. Throws config::ConfigError if there is none.
std::vector<config::Upstream> load_servers(const config::OperatorConfig& config);

}  // namespace cressledge::upstream
