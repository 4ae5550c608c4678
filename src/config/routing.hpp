// The section `routing` of the operator's file.
#pragma once

#include "config/reader.hpp"
#include "load_balancing/balancer.hpp"
#include "retry/retry_policy.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::config {

// The balancer's rules and those of its neighbours. `ramp.warm_for` is the members' slow start.
struct RoutingConfig : load_balancing::BalancerSettings {
    double retry_budget_ratio = 0.1;  // extra tries for each first one
    bool hedging_enabled = false, health_checks_enabled = true;
    policy::Duration probe_timeout{10'000};  // probe-first: a call goes then, whoever has answered
    bool key_affinity_enabled =
        false;  // requests of one Lookup-Key go to one server, while it is not overloaded
    retry::RetrySettings retry_policy;
    upstream_health::HealthSettings upstream_health;
    std::uint32_t max_idle_connections_per_server = 4,
                  max_idle_connections = 64;  // idle connections, of one server and in all; 0: none
    policy::Duration idle_connection_timeout{5'000'000}, max_connection_age{60'000'000};
    policy::Duration inventory_poll_interval{
        1'000'000};  // between two looks at the inventory's file; 0: none
    double max_removed_fraction = 0.5;  // of the servers in force; a file that drops more is refused
};

void read_routing(const YamlReader& reader, const YAML::Node& doc, RoutingConfig& config);  // throws Invalid

}  // namespace cressledge::config
