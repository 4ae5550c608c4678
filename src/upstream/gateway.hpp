// The operator's set-up: SCGI (and HTTP) fronts before the core, servers of the inventory behind it.
#pragma once

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
#include "upstream/executor.hpp"

namespace cressledge::upstream {

class NullRecordsClient final : public request::DependencyClient {  // what runs upstream makes its own calls
public:
    void call(request::RequestId, std::string_view, std::string_view, base::Timestamp) override {}
    void abandon(request::RequestId) override {}
};

class UpstreamGateway final : public request::ConnectionSettingsSink, public admin::AdminSource {
public:
    // Puts something between the core and the calls: for programs that rehearse faults.
    using ExecutorDecorator = std::function<std::unique_ptr<request::Executor>(
        request::RequestManager& server, request::Executor& inner)>;
    // The core goes by `clock`; the loop is one, and tests bring their own.
    UpstreamGateway(net::Loop& loop, base::TimerQueue& timers, base::Clock& clock,
                    const config::OperatorConfig& config, std::uint64_t seed,
                    const ExecutorDecorator& wrap = {});
    ~UpstreamGateway() override {
        timers_.cancel(inventory_recheck_timer_);
        timers_.cancel(peer_refresh_timer_);
        timers_.cancel(gossip_join_timer_);
    }
    void start();  // and take signals
    void begin_graceful_shutdown();  // the notice to leave; the fleet is told at once
    void hand_over();  // the same, to a process that goes on under this one's id
    // The operator's file, if there is one, and the inventory: whole or not at all.
    void reload() { reload_files(true); }
    const UpstreamExecutor& executor() const { return executor_; }
    void log_report();
    void save_learned_state() {  // after the loop: what was learned is kept
        if (learned_state_saver_)
            learned_state_saver_->flush();
    }
    learned_state::LearnedStateSaver* learned_state_saver() { return learned_state_saver_.get(); }
    void set_idle_timeout(base::Duration limit) override { shutdown_coordinator_.set_idle_limit(limit); }
    request::RequestManager& request_manager() { return request_manager_; }
    frontend::ConnectionAdmitter& connection_admitter() { return connection_admitter_; }
    connection_admission::FileDescriptorBudget& descriptors() { return descriptors_; }
    int scgi_port() const { return scgi_port_; }
    int http_port() const { return http_port_; }
    int admin_port() const { return admin_server_ ? admin_server_->port() : 0; }
    gossip::GossipNode* gossip_node() { return gossip_node_.get(); }  // null: no view of a fleet is kept
    bool is_ready() override { return request_manager_.started() && !request_manager_.draining(); }
    void collect_metrics(base::Metrics& out) override;
    std::optional<std::string> membership_json(bool brief) override;

private:
    connection_admission::DescriptorPlan descriptor_plan(const config::OperatorConfig& o) const;

    void open_learned_state(base::Timestamp now);
    void reload_files(bool settings);  // or the inventory alone
    void watch_inventory();
    void join_gossip(std::uint64_t seed);
    void refresh_peers();  // who shares the inventory with this process

    config::OperatorConfig config_;
    net::Loop& loop_;
    base::TimerQueue& timers_;
    const std::size_t preopened_descriptors_;  // descriptors that were open before ours
    connection_admission::FileDescriptorBudget descriptors_;
    request::RequestManager request_manager_;
    frontend::FieldDefaults supply_;
    frontend::ConnectionAdmitter connection_admitter_;
    frontend::ShutdownCoordinator shutdown_coordinator_;
    NullRecordsClient null_records_client_;
    UpstreamExecutor executor_;
    std::unique_ptr<request::Executor> decorated_executor_;
    std::vector<config::Upstream> servers_;  // in force
    std::unique_ptr<net::FileWatcher> inventory_watcher_;
    std::uint64_t last_peer_digest_ = 0;  // the digest of the view that the balancer was last told of
    base::TimerQueue::Handle inventory_recheck_timer_ = 0, peer_refresh_timer_ = 0, gossip_join_timer_ = 0;
    std::vector<connection_admission::FileDescriptorBudget::Lease> store_file_leases_;  // the store's files
    std::unique_ptr<learned_state::LearnedStateSaver> learned_state_saver_;  // null: nothing is kept
    std::unique_ptr<gossip::GossipNode> gossip_node_;
    std::optional<admin::AdminServer> admin_server_;
    std::uint64_t configurations_applied_ = 0, configurations_rejected_ = 0;  // files taken and turned down
    int scgi_port_ = 0, http_port_ = 0;
};

// The servers that the operator's file asks for; throws config::Invalid if there is none.
std::vector<config::Upstream> load_servers(const config::OperatorConfig& config);

}  // namespace cressledge::upstream
