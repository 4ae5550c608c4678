/// Reads the section `routing` of the operator's file: how a server of the inventory is chosen for each call.
#pragma once

#include "config/yaml_reader.hpp"
#include "load_balancing/balancer.hpp"
#include "retry/retry_policy.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::config {

/// Settings of load balancing, retries, health checks and idle connections. `slow_start.warm_up_time` equals
/// `upstream_health.slow_start_time`.
struct RoutingConfig : load_balancing::BalancerSettings {
    /// Retries and hedged requests allowed per first attempt.
    double retry_budget_ratio = 0.1;
    bool hedging_enabled = false;
    bool health_checks_enabled = true;
    /// How long a call waits for the replies to its load probes.
    policy::Duration probe_timeout{10'000};
    /// Sends requests with the same lookup key to the same server while it is not overloaded.
    bool key_affinity_enabled = false;
    retry::RetrySettings retry_policy;
    upstream_health::HealthSettings upstream_health;
    /// Idle connections kept for reuse. 0: none.
    std::uint32_t max_idle_connections_per_server = 4;
    std::uint32_t max_idle_connections = 64;
    policy::Duration idle_connection_timeout{5'000'000};
    policy::Duration max_connection_age{60'000'000};
    /// Time between two checks of the inventory file for changes. 0: it is not checked.
    policy::Duration inventory_poll_interval{1'000'000};
    /// A new inventory that removes more than this fraction of the servers in use is rejected.
    double max_removed_fraction = 0.5;
};

/// Reads the section, or leaves the defaults if it is missing. Throws ConfigError.
void read_routing(const YamlReader& reader, const YAML::Node& document, RoutingConfig& config);

}  // namespace cressledge::config
