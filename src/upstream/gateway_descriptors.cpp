#include "upstream/gateway_descriptors.hpp"

#include <algorithm>
#include <stdexcept>

#include "admin/admin_server.hpp"
#include "base/log.hpp"
#include "gossip/gossip_node.hpp"
#include "net/process_descriptors.hpp"

namespace cressledge::upstream {
namespace {

/// Concurrent health checks.
constexpr std::size_t probe_descriptors = 16;
/// libuv opens the pipe when the first signal handler is installed.
constexpr std::size_t signal_pipe_descriptors = 2;
constexpr std::size_t min_calls_per_core = 2;

connection_admission::DescriptorDemand descriptor_demand(const config::OperatorConfig& config) {
    const connection_admission::Settings& settings = config.admission;
    const bool has_admin = !config.admin_address.empty() || config.inherited_sockets.control >= 0;
    const std::size_t max_calls =
        settings.max_in_flight_requests == 0 ? settings.max_connections : settings.max_in_flight_requests;
    connection_admission::DescriptorDemand demand;
    demand.listeners = (config.scgi_address.empty() ? 0U : 1U) + (config.http_address.empty() ? 0U : 1U);
    demand.rejection_slots = settings.rejection_slots;
    demand.admin = has_admin ? admin::AdminServer::max_connections + 1 : 0;
    demand.gossip = config.gossip ? gossip::GossipNode::descriptors_needed : 0;
    demand.open_files = config.learned_state.directory.empty() ? 0 : store_descriptors;
    demand.upstream = max_calls + config.routing.max_idle_connections + probe_descriptors;
    demand.min_upstream = static_cast<std::size_t>(config.policy_settings.cores) * min_calls_per_core;
    for (const connection_admission::ClientGroup& group : settings.groups)
        demand.reserved_connections += group.reserved_connections;
    return demand;
}

}  // namespace

std::size_t count_preopened_descriptors() {
    return net::count_open_descriptors() + signal_pipe_descriptors;
}

connection_admission::DescriptorPlan make_descriptor_plan(const config::OperatorConfig& config,
                                                          std::size_t preopened_descriptors) {
    // The configured limit, but never more than the system allows.
    const std::size_t system_limit = net::descriptor_limit();
    const std::size_t limit =
        config.max_descriptors == 0 ? system_limit : std::min(config.max_descriptors, system_limit);
    try {
        return connection_admission::plan_descriptors(limit, preopened_descriptors, descriptor_demand(config),
                                                      config.admission.max_connections);
    } catch (const std::invalid_argument& error) {
        throw config::ConfigError(config.path + ": admission: " + error.what());
    }
}

connection_admission::Settings fit_to_plan(connection_admission::Settings settings,
                                           const connection_admission::DescriptorPlan& plan) {
    if (plan.max_connections < settings.max_connections)
        base::log_warning(
            "admission: connection limit reduced max_connections={} configured={} descriptor_limit={}",
            plan.max_connections, settings.max_connections, plan.limit);
    settings.max_connections = plan.max_connections;
    settings.rejection_slots = plan.rejection_slots;
    return settings;
}

}  // namespace cressledge::upstream
