#include "config/routing.hpp"

#include <cmath>
#include <map>

namespace cressledge::config {

void read_routing(const YamlReader& reader, const YAML::Node& doc, RoutingConfig& config) {
    const YAML::Node section = doc["routing"];
    if (!section)
        return;
    reader.require_known_keys(
        section, "routing",
        {"policy", "place", "node", "spill", "most_in_hand", "subset", "retries", "hedging", "affinity",
         "probes", "probing", "members", "kept", "watch_ms", "most_gone", "slow_start"});
    const auto flag = [&](const YAML::Node& map, const char* name, bool otherwise) {
        bool b = otherwise;
        if (map[name] && !YAML::convert<bool>::decode(map[name], b))
            reader.fail(map[name], name, "neither true nor false");
        return b;
    };
    static const std::map<std::string, load_balancing::BalancingPolicy> policies = {
        {"two-choices", load_balancing::BalancingPolicy::power_of_two_choices},
        {"round-robin", load_balancing::BalancingPolicy::round_robin},
        {"fewest-in-hand", load_balancing::BalancingPolicy::least_in_flight},
        {"probe-pool", load_balancing::BalancingPolicy::probe_pool},
        {"probe-first", load_balancing::BalancingPolicy::probe_first}};
    const auto policy = policies.find(reader.text(section, "policy", "two-choices"));
    if (policy == policies.end())
        reader.fail(section["policy"], "policy",
                    "none of two-choices, round-robin, fewest-in-hand, probe-pool, probe-first");
    config.policy = policy->second;
    config.local_data_centre = reader.text(section, "place", "");
    // A process of a fleet is known by its id there, unless it says otherwise.
    const YAML::Node fleet = doc["fleet"];
    const bool named = fleet && fleet.IsMap() && fleet["id"] && fleet["id"].IsScalar();
    config.node_name = reader.text(section, "node", named ? fleet["id"].Scalar().c_str() : "");
    config.spillover_calls_per_weight = reader.number(section, "spill", 0.01, 1e4, 1.5);
    config.max_calls_in_flight = reader.integer(section, "most_in_hand", 1.0, 1e6, 0.0);
    config.subset_size = reader.integer(section, "subset", 1.0, 1e6, 0.0);
    if (config.subset_size != 0 && config.node_name.empty())
        reader.fail(section["subset"], "subset", "needs a node, by whose name it is chosen");
    config.hedging_enabled = flag(section, "hedging", false);
    config.key_affinity_enabled = flag(section, "affinity", false);
    config.health_checks_enabled = flag(section, "probes", true);
    config.inventory_poll_interval = reader.duration_ms(section, "watch_ms", 0.0, 1000.0);
    config.max_removed_fraction = reader.number(section, "most_gone", 0.0, 1.0, 0.5);
    if (const YAML::Node t = section["retries"]) {
        reader.require_known_keys(t, "retries",
                                  {"share", "most_tries", "back_off_ms", "back_off_most_ms", "try_part"});
        config.retry_budget_ratio = reader.number(t, "share", 0.0, 1.0, 0.1);
        config.retry_policy.max_attempts = reader.integer(t, "most_tries", 1.0, 10.0, 3.0);
        config.retry_policy.base_backoff = reader.duration_ms(t, "back_off_ms", 0.0, 25.0);
        config.retry_policy.max_backoff = reader.duration_ms(t, "back_off_most_ms", 0.0, 1000.0);
        config.retry_policy.attempt_time_fraction = reader.number(t, "try_part", 0.05, 1.0, 0.5);
    }
    const bool probes_first = config.policy == load_balancing::BalancingPolicy::probe_first;
    if (probes_first)
        config.probing.probes_per_call = 5.0;
    if (const YAML::Node p = section["probing"]) {
        reader.require_known_keys(p, "probing", {"per_call", "pool", "most_age_ms", "hot", "patience_ms"});
        config.probing.probes_per_call = reader.number(p, "per_call", 0.0, 16.0, probes_first ? 5.0 : 3.0);
        config.probe_timeout = reader.duration_ms(p, "patience_ms", 1.0, 10.0);
        config.probing.pool_size = reader.integer(p, "pool", 2.0, 256.0, 16.0);
        config.probing.max_age = reader.duration_ms(p, "most_age_ms", 1.0, 1000.0);
        config.probing.hot_quantile = reader.number(p, "hot", 0.0, 1.0, 0.0);
    }
    if (const YAML::Node m = section["members"]) {
        reader.require_known_keys(m, "members",
                                  {"suspect_after", "eject_after", "failing", "slow", "max_ejected",
                                   "panic_below", "eject_ms", "eject_most_ms", "slow_start_ms", "probe_ms"});
        upstream_health::HealthSettings& k = config.upstream_health;
        k.suspect_after_failures = reader.integer(m, "suspect_after", 1.0, 1e6, 2.0);
        k.eject_after_failures = reader.integer(m, "eject_after", 1.0, 1e6, 5.0);
        k.max_failure_rate = reader.number(m, "failing", 0.01, 1.0, 0.5);
        k.max_latency_ratio = reader.number(m, "slow", 1.1, 1e6, 3.0);
        k.max_ejected_fraction = reader.number(m, "max_ejected", 0.0, 1.0, 0.3);
        k.panic_threshold = reader.number(m, "panic_below", 0.0, 1.0, 0.5);
        k.base_ejection_time = reader.duration_ms(m, "eject_ms", 1.0, 5000.0);
        k.max_ejection_time = reader.duration_ms(m, "eject_most_ms", 1.0, 60'000.0);
        k.slow_start_time = reader.duration_ms(m, "slow_start_ms", 1.0, 10'000.0);
        k.health_check_interval = reader.duration_ms(m, "probe_ms", 50.0, 2000.0);
        if (k.max_ejection_time < k.base_ejection_time)
            reader.fail(m["eject_most_ms"], "eject_most_ms", "below eject_ms");
    }
    if (const YAML::Node s = section["slow_start"]) {
        reader.require_known_keys(s, "slow_start", {"calls_per_s", "from", "window_ms", "peers"});
        config.slow_start.calls_per_s = reader.number(s, "calls_per_s", 0.001, 1e6, required);
        config.slow_start.initial_fraction = reader.number(s, "from", 0.0, 1.0, 0.2);
        config.slow_start.window = reader.duration_ms(s, "window_ms", 10.0, 2000.0);
        config.slow_start.assumed_processes = reader.number(s, "peers", 1.0, 1e5, 32.0);
        if (fleet && config.node_name.empty())
            reader.fail(s, "slow_start", "needs a node, by whose name the calls are shared out");
    }
    config.slow_start.warm_up_time = config.upstream_health.slow_start_time;
    if (const YAML::Node k = section["kept"]) {
        reader.require_known_keys(k, "kept", {"of_one", "in_all", "idle_ms", "age_ms"});
        config.max_idle_connections_per_server = reader.integer(k, "of_one", 0.0, 1e4, 4.0);
        config.max_idle_connections = reader.integer(k, "in_all", 0.0, 1e5, 64.0);
        config.idle_connection_timeout = reader.duration_ms(k, "idle_ms", 1.0, 5000.0);
        config.max_connection_age = reader.duration_ms(k, "age_ms", 1.0, 60'000.0);
    }
}

}  // namespace cressledge::config
