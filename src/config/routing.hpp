/// The section `routing` of the operator's file: how calls find a server of the inventory.
#pragma once

#include "config/yaml_reader.hpp"
#include "load_balancing/balancer.hpp"
#include "retry/retry_policy.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::config {

/// The balancer's settings and those of its neighbours. `slow_start.warm_up_time` is the slow start of `upstream_health`.
struct RoutingConfig : load_balancing::BalancerSettings {
    /// Retries and hedges for each first attempt.
    double retry_budget_ratio = 0.1;
    bool hedging_enabled = false;
    bool health_checks_enabled = true;
    /// How long a call waits for the replies to its load probes.
    policy::Duration probe_timeout{10'000};
    /// Requests of one lookup key go to one server, while it is not overloaded.
    bool key_affinity_enabled = false;
    retry::RetrySettings retry_policy;
    upstream_health::HealthSettings upstream_health;
    /// Connections kept for the next call. 0: none.
    std::uint32_t max_idle_connections_per_server = 4;
    std::uint32_t max_idle_connections = 64;
    policy::Duration idle_connection_timeout{5'000'000};
    policy::Duration max_connection_age{60'000'000};
    /// Between two looks at the inventory's file. 0: none.
    policy::Duration inventory_poll_interval{1'000'000};
    /// Of the servers in force; an inventory that drops more is rejected.
    double max_removed_fraction = 0.5;
};

/// Reads the section, or leaves the defaults. Throws ConfigError.
void read_routing(const YamlReader& reader, const YAML::Node& document, RoutingConfig& config);

}  // namespace cressledge::config
