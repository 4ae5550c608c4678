// The gateway for operators: SCGI and HTTP frontends, the request manager, and the upstream hosts of the inventory,
// with gossip, learned state, the admin server and reloads of the configuration.
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

/// A dependency client for executors whose runs make no dependency calls; it does nothing.
class NullRecordsClient final : public request::DependencyClient {
public:
    void call(request::RequestId, std::string_view, std::string_view, base::Timestamp) override {}
    void abandon(request::RequestId) override {}
};

/// Owns and connects all components of the server.
class UpstreamGateway final : public request::ConnectionSettingsSink, public admin::AdminSource {
public:
    /// Returns an executor that wraps `inner`, for fault injection.
    using ExecutorDecorator = std::function<std::unique_ptr<request::Executor>(
        request::RequestManager& request_manager, request::Executor& inner)>;

    /// Opens the listeners. `clock` is the clock of the request manager and the executor. Throws config::ConfigError if
    /// the configuration or the inventory is invalid, and std::runtime_error if a socket or the store cannot be opened.
    UpstreamGateway(net::Loop& loop, base::TimerQueue& timers, base::Clock& clock,
                    const config::OperatorConfig& config, std::uint64_t seed,
                    const ExecutorDecorator& decorate_executor = {});
    UpstreamGateway(const UpstreamGateway&) = delete;
    UpstreamGateway& operator=(const UpstreamGateway&) = delete;

    /// Installs the signal handlers.
    void start();

    /// Shuts down gracefully without a successor: leaves the fleet, answers the requests that reach the listening sockets
    /// until these are closed, and ends the event loop.
    void begin_graceful_shutdown();

    /// Shuts down gracefully in favour of a process that continues under the same member id: this process does not
    /// leave the fleet, and closes its gossip port at once.
    void hand_over();

    /// Reloads the configuration file, if there is one, and the inventory. If one of them is invalid, nothing changes.
    void reload() { reload_files(ReloadScope::all_files); }

    /// Saves the learned state. Must be called after the event loop has ended.
    void save_learned_state();

    /// Logs the connections, the states of the hosts, the counters of calls, and the saves of the learned state.
    void log_report();

    void set_idle_timeout(base::Duration timeout) override { shutdown_coordinator_.set_idle_limit(timeout); }
    bool is_ready() override { return request_manager_.started() && !request_manager_.draining(); }
    void collect_metrics(base::Metrics& out) override;
    std::optional<std::string> membership_json(bool brief) override;

    const UpstreamExecutor& executor() const { return executor_; }
    request::RequestManager& request_manager() { return request_manager_; }
    frontend::ConnectionAdmitter& connection_admitter() { return connection_admitter_; }
    connection_admission::FileDescriptorBudget& descriptors() { return descriptors_; }

    /// Null if the learned state is not saved.
    learned_state::LearnedStateSaver* learned_state_saver() { return learned_state_saver_.get(); }

    /// Null if the process belongs to no fleet, or while its gossip port is not open.
    gossip::GossipNode* gossip_node() { return gossip_node_.get(); }

    /// Ports of the listeners; 0 if there is no such listener.
    int scgi_port() const { return scgi_port_; }
    int http_port() const { return http_port_; }
    int admin_port() const { return admin_server_ ? admin_server_->port() : 0; }

private:
    enum class Protocol { scgi, http };
    enum class ReloadScope { all_files, inventory_only };

    /// A configuration and an inventory that have been read, but not applied yet.
    struct Reload {
        config::OperatorConfig config;
        connection_admission::DescriptorPlan plan;
        std::vector<config::Upstream> servers;
        config::InventoryDiff inventory_diff;
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
    /// The servers of the current inventory.
    std::vector<config::Upstream> servers_;
    std::unique_ptr<net::FileWatcher> inventory_watcher_;
    /// Digest of the membership that was last passed to the executor.
    std::uint64_t last_membership_digest_ = 0;
    std::vector<connection_admission::FileDescriptorBudget::Lease> store_file_leases_;
    /// Storage of the learned state; null if it is not saved.
    std::unique_ptr<store::PosixFileSystem> learned_state_files_;
    std::unique_ptr<store::Store> learned_state_store_;
    std::unique_ptr<learned_state::LearnedStateSaver> learned_state_saver_;
    std::unique_ptr<gossip::GossipNode> gossip_node_;
    std::optional<admin::AdminServer> admin_server_;
    std::uint64_t configurations_applied_ = 0;
    std::uint64_t configurations_rejected_ = 0;
    int scgi_port_ = 0;
    int http_port_ = 0;
    // The timers are declared last, to be cancelled first: the saver runs the event loop until its last commit has
    // ended.
    base::TimerHandle inventory_recheck_timer_;
    base::TimerHandle peer_refresh_timer_;
    base::TimerHandle gossip_join_timer_;
};

/// Loads the servers of the inventory that belong to the configured group. Throws config::ConfigError if the inventory
/// is invalid or there is no such server.
std::vector<config::Upstream> load_servers(const config::OperatorConfig& config);

}  // namespace cressledge::upstream
