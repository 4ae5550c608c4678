#include "config/routing.hpp"

#include <map>

namespace cressledge::config {
namespace {

/// Default number of load probes per call, by balancing policy.
constexpr double default_probes_per_call = 3.0;
constexpr double default_probes_first_per_call = 5.0;

load_balancing::BalancingPolicy read_policy(const YamlReader& reader, const YAML::Node& section) {
    static const std::map<std::string, load_balancing::BalancingPolicy> policies = {
        {"two-choices", load_balancing::BalancingPolicy::power_of_two_choices},
        {"round-robin", load_balancing::BalancingPolicy::round_robin},
        {"fewest-in-hand", load_balancing::BalancingPolicy::least_in_flight},
        {"probe-pool", load_balancing::BalancingPolicy::probe_pool},
        {"probe-first", load_balancing::BalancingPolicy::probe_first}};
    const auto policy = policies.find(reader.text(section, "policy", "two-choices"));
    if (policy == policies.end())
        reader.fail(section["policy"], "policy",
                    "none of two-choices, round-robin, fewest-in-hand, probe-pool, probe-first: " +
                        section["policy"].Scalar());
    return policy->second;
}

// The default name of the process is its member id in the section `fleet`.
std::string read_node_name(const YamlReader& reader, const YAML::Node& section, const YAML::Node& fleet) {
    const bool has_member_id = fleet && fleet.IsMap() && fleet["id"] && fleet["id"].IsScalar();
    const std::string member_id = has_member_id ? fleet["id"].Scalar() : std::string();
    return reader.text(section, "node", member_id.c_str());
}

void read_balancing(const YamlReader& reader, const YAML::Node& section, const YAML::Node& fleet,
                    RoutingConfig& config) {
    config.policy = read_policy(reader, section);
    config.local_data_centre = reader.text(section, "place", "");
    config.node_name = read_node_name(reader, section, fleet);
    config.spillover_calls_per_weight = reader.number(section, "spill", 0.01, 1e4, 1.5);
    config.max_calls_in_flight = reader.integer(section, "most_in_hand", 1.0, 1e6, 0.0);
    config.subset_size = reader.integer(section, "subset", 1.0, 1e6, 0.0);
    if (config.subset_size != 0 && config.node_name.empty())
        reader.fail(section["subset"], "subset",
                    "requires a name of this process in routing.node or fleet.id");
    config.hedging_enabled = reader.flag(section, "hedging", false);
    config.key_affinity_enabled = reader.flag(section, "affinity", false);
    config.health_checks_enabled = reader.flag(section, "probes", true);
    config.inventory_poll_interval = reader.duration_ms(section, "watch_ms", 0.0, 1000.0);
    config.max_removed_fraction = reader.number(section, "most_gone", 0.0, 1.0, 0.5);
}

void read_retries(const YamlReader& reader, const YAML::Node& section, RoutingConfig& config) {
    if (!section)
        return;
    reader.require_known_keys(section, "retries",
                              {"share", "most_tries", "back_off_ms", "back_off_most_ms", "try_part"});
    config.retry_budget_ratio = reader.number(section, "share", 0.0, 1.0, 0.1);
    retry::RetrySettings& retry = config.retry_policy;
    retry.max_attempts = reader.integer(section, "most_tries", 1.0, 10.0, 3.0);
    retry.base_backoff = reader.duration_ms(section, "back_off_ms", 0.0, 25.0);
    retry.max_backoff = reader.duration_ms(section, "back_off_most_ms", 0.0, 1000.0);
    retry.attempt_time_fraction = reader.number(section, "try_part", 0.05, 1.0, 0.5);
}

void read_load_probes(const YamlReader& reader, const YAML::Node& section, RoutingConfig& config) {
    load_balancing::LoadProbeSettings& probing = config.probing;
    const bool probes_first = config.policy == load_balancing::BalancingPolicy::probe_first;
    if (probes_first)
        probing.probes_per_call = default_probes_first_per_call;
    if (!section)
        return;
    reader.require_known_keys(section, "probing", {"per_call", "pool", "most_age_ms", "hot", "patience_ms"});
    probing.probes_per_call =
        reader.number(section, "per_call", 0.0, 16.0,
                      probes_first ? default_probes_first_per_call : default_probes_per_call);
    config.probe_timeout = reader.duration_ms(section, "patience_ms", 1.0, 10.0);
    probing.pool_size = reader.integer(section, "pool", 2.0, 256.0, 16.0);
    probing.max_age = reader.duration_ms(section, "most_age_ms", 1.0, 1000.0);
    probing.hot_quantile = reader.number(section, "hot", 0.0, 1.0, 0.0);
}

void read_health(const YamlReader& reader, const YAML::Node& section,
                 upstream_health::HealthSettings& health) {
    if (!section)
        return;
    reader.require_known_keys(section, "members",
                              {"suspect_after", "eject_after", "failing", "slow", "max_ejected",
                               "panic_below", "eject_ms", "eject_most_ms", "slow_start_ms", "probe_ms"});
    health.suspect_after_failures = reader.integer(section, "suspect_after", 1.0, 1e6, 2.0);
    health.eject_after_failures = reader.integer(section, "eject_after", 1.0, 1e6, 5.0);
    health.max_failure_rate = reader.number(section, "failing", 0.01, 1.0, 0.5);
    health.max_latency_ratio = reader.number(section, "slow", 1.1, 1e6, 3.0);
    health.max_ejected_fraction = reader.number(section, "max_ejected", 0.0, 1.0, 0.3);
    health.panic_threshold = reader.number(section, "panic_below", 0.0, 1.0, 0.5);
    health.base_ejection_time = reader.duration_ms(section, "eject_ms", 1.0, 5000.0);
    health.max_ejection_time = reader.duration_ms(section, "eject_most_ms", 1.0, 60'000.0);
    health.slow_start_time = reader.duration_ms(section, "slow_start_ms", 1.0, 10'000.0);
    health.health_check_interval = reader.duration_ms(section, "probe_ms", 50.0, 2000.0);
    if (health.max_ejection_time < health.base_ejection_time)
        reader.fail(section["eject_most_ms"], "eject_most_ms", "must not be less than eject_ms");
}

void read_slow_start(const YamlReader& reader, const YAML::Node& section, bool is_in_fleet,
                     RoutingConfig& config) {
    load_balancing::SlowStartSettings& slow_start = config.slow_start;
    if (section) {
        reader.require_known_keys(section, "slow_start", {"calls_per_s", "from", "window_ms", "peers"});
        slow_start.calls_per_s = reader.number(section, "calls_per_s", 0.001, 1e6, required);
        slow_start.initial_fraction = reader.number(section, "from", 0.0, 1.0, 0.2);
        slow_start.window = reader.duration_ms(section, "window_ms", 10.0, 2000.0);
        slow_start.assumed_processes = reader.number(section, "peers", 1.0, 1e5, 32.0);
        if (is_in_fleet && config.node_name.empty())
            reader.fail(section, "slow_start", "requires a name of this process in routing.node or fleet.id");
    }
    slow_start.warm_up_time = config.upstream_health.slow_start_time;
}

void read_idle_connections(const YamlReader& reader, const YAML::Node& section, RoutingConfig& config) {
    if (!section)
        return;
    reader.require_known_keys(section, "kept", {"of_one", "in_all", "idle_ms", "age_ms"});
    config.max_idle_connections_per_server = reader.integer(section, "of_one", 0.0, 1e4, 4.0);
    config.max_idle_connections = reader.integer(section, "in_all", 0.0, 1e5, 64.0);
    config.idle_connection_timeout = reader.duration_ms(section, "idle_ms", 1.0, 5000.0);
    config.max_connection_age = reader.duration_ms(section, "age_ms", 1.0, 60'000.0);
}

}  // namespace

void read_routing(const YamlReader& reader, const YAML::Node& document, RoutingConfig& config) {
    const YAML::Node section = document["routing"];
    if (!section)
        return;
    reader.require_known_keys(
        section, "routing",
        {"policy", "place", "node", "spill", "most_in_hand", "subset", "retries", "hedging", "affinity",
         "probes", "probing", "members", "kept", "watch_ms", "most_gone", "slow_start"});
    const YAML::Node fleet = document["fleet"];
    read_balancing(reader, section, fleet, config);
    read_retries(reader, section["retries"], config);
    read_load_probes(reader, section["probing"], config);
    read_health(reader, section["members"], config.upstream_health);
    read_slow_start(reader, section["slow_start"], fleet.IsDefined(), config);
    read_idle_connections(reader, section["kept"], config);
}

}  // namespace cressledge::config
