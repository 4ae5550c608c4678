// Reloads of the configuration file and the inventory while the gateway runs.

#include <utility>

#include "base/log.hpp"
#include "upstream/gateway.hpp"
#include "upstream/gateway_descriptors.hpp"

namespace cressledge::upstream {
namespace {

/// Limit for the server names in the log, for added, removed and changed servers each.
constexpr std::size_t max_logged_servers = 8;
constexpr std::int64_t microseconds_per_millisecond = 1000;

// Whether both settings describe the same member of the same fleet.
bool is_same_member(const std::optional<gossip::Settings>& before,
                    const std::optional<gossip::Settings>& after) {
    if (!before || !after)
        return before.has_value() == after.has_value();
    return before->fleet_name == after->fleet_name && before->member_id == after->member_id &&
           before->listen == after->listen && before->advertise == after->advertise;
}

}  // namespace

std::vector<config::Upstream> load_servers(const config::OperatorConfig& config) {
    const std::string& group = config.server_group;
    std::vector<config::Upstream> servers = config::load_inventory(config.inventory_path);
    std::erase_if(servers,
                  [&group](const auto& server) { return !group.empty() && !server.belongs_to(group); });
    if (servers.empty()) {
        const std::string reason = group.empty() ? "no servers" : "no server in group " + group;
        throw config::ConfigError(config.inventory_path + ": " + reason);
    }
    return servers;
}

void UpstreamGateway::watch_inventory() {
    const base::Duration interval = config_.routing.inventory_poll_interval;
    inventory_watcher_.reset();
    const auto interval_ms = static_cast<unsigned>(interval.count() / microseconds_per_millisecond);
    if (interval_ms == 0)
        return;
    inventory_watcher_ =
        std::make_unique<net::FileWatcher>(loop_.uv(), config_.inventory_path, interval_ms,
                                           [this] { reload_files(ReloadScope::inventory_only); });
    // The watcher does not notice a change between the last read and its first poll.
    inventory_recheck_timer_ = timers_.schedule(request_manager_.now() + interval,
                                                [this] { reload_files(ReloadScope::inventory_only); });
}

void UpstreamGateway::reload_files(ReloadScope scope) {
    const char* log_component = "configuration";
    try {
        const auto lease =
            descriptors_.try_acquire(request_manager_.now(), connection_admission::DescriptorPurpose::file);
        Reload reload;
        reload.config = read_configuration(scope);
        reload.plan = make_descriptor_plan(reload.config, preopened_descriptors_);
        log_component = "inventory";
        reload.servers = load_servers(reload.config);
        reload.inventory_diff = config::diff_inventories(servers_, reload.servers);
        check_reload(reload);
        apply(std::move(reload), scope);
    } catch (const config::InventoryError& error) {
        ++configurations_rejected_;
        for (const std::string& row_error : error.row_errors)
            base::log_error("{}: reload rejected error=\"{}\"", log_component, row_error);
    } catch (const config::ConfigError& error) {
        ++configurations_rejected_;
        base::log_error("{}: reload rejected error=\"{}\"", log_component, error.what());
    }
}

config::OperatorConfig UpstreamGateway::read_configuration(ReloadScope scope) const {
    if (config_.path.empty() || scope == ReloadScope::inventory_only)
        return config_;
    config::OperatorConfig new_config = config::load_operator_config(config_.path);
    if (new_config.restart_only_yaml != config_.restart_only_yaml)
        throw config::ConfigError(
            config_.path +
            ": settings other than inventory, group, connections, admission, routing and "
            "fleet require a restart");
    if (!is_same_member(config_.gossip, new_config.gossip))
        throw config::ConfigError(config_.path + ": fleet: name, id, gossip and advertise require a restart");
    new_config.inherited_sockets = config_.inherited_sockets;
    return new_config;
}

// Rejects a reload that removes too many servers: the file may be truncated at the end of a row, or written by a tool
// that found no servers. There is no limit if the configuration names another file or group.
void UpstreamGateway::check_reload(const Reload& reload) const {
    const config::OperatorConfig& new_config = reload.config;
    if (new_config.inventory_path != config_.inventory_path ||
        new_config.server_group != config_.server_group)
        return;
    if (!config::exceeds_removal_limit(reload.inventory_diff, servers_.size(),
                                       new_config.routing.max_removed_fraction))
        return;
    throw config::ConfigError(
        new_config.inventory_path + ": " + std::to_string(reload.inventory_diff.removed.size()) + " of " +
        std::to_string(servers_.size()) + " servers removed, more than most_gone allows");
}

// Must not fail, so that a configuration is never applied in part.
void UpstreamGateway::apply(Reload reload, ReloadScope scope) {
    const config::OperatorConfig old_config = std::exchange(config_, std::move(reload.config));
    const bool has_new_settings = scope == ReloadScope::all_files;
    const bool has_new_servers = !reload.inventory_diff.is_empty();
    if (has_new_settings || has_new_servers)
        ++configurations_applied_;
    if (gossip_node_ && has_new_settings)
        gossip_node_->reconfigure(config_.gossip->membership, config_.gossip->seeds);
    if (has_new_settings) {
        descriptors_.reconfigure(reload.plan);
        connection_admitter_.reload(fit_to_plan(config_.admission, reload.plan));
    }
    if (config_.routing_yaml != old_config.routing_yaml) {
        executor_.reconfigure(config_.routing);
        last_membership_digest_ = 0;
        refresh_peers();
    }
    servers_ = std::move(reload.servers);
    if (has_new_servers)
        executor_.set_servers(servers_);
    if (config_.inventory_path != old_config.inventory_path ||
        config_.routing.inventory_poll_interval != old_config.routing.inventory_poll_interval)
        watch_inventory();
    if (has_new_settings || has_new_servers)
        base::log_info("inventory: applied servers={} version={} changes=\"{}\"", servers_.size(),
                       executor_.hosts().inventory_version(),
                       reload.inventory_diff.summary(max_logged_servers));
}

}  // namespace cressledge::upstream
