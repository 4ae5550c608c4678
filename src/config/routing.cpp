#include "config/routing.hpp"

#include <cmath>
#include <map>

namespace cressledge::config {

void read_routing(const Reader& r, const YAML::Node& doc, Routing& to) {
    const YAML::Node at = doc["routing"];
    if (!at) return;
    r.only(at, "routing",
           {"policy", "place", "node", "spill", "most_in_hand", "subset", "retries", "hedging", "affinity", "probes", "probing", "members",
            "kept", "watch_ms", "most_gone", "slow_start"});
    const auto flag = [&](const YAML::Node& map, const char* name, bool otherwise) {
        bool b = otherwise;
        if (map[name] && !YAML::convert<bool>::decode(map[name], b)) r.fail(map[name], name, "neither true nor false");
        return b;
    };
    static const std::map<std::string, routing::Policy> policies = {
        {"two-choices", routing::Policy::two_choices},
        {"round-robin", routing::Policy::round_robin},
        {"fewest-in-hand", routing::Policy::fewest_in_hand},
        {"probe-pool", routing::Policy::probe_pool},
        {"probe-first", routing::Policy::probe_first}};
    const auto policy = policies.find(r.text(at, "policy", "two-choices"));
    if (policy == policies.end()) r.fail(at["policy"], "policy", "none of two-choices, round-robin, fewest-in-hand, probe-pool, probe-first");
    to.policy = policy->second;
    to.place = r.text(at, "place", "");
    // A process of a fleet is known by its id there, unless it says otherwise.
    const YAML::Node fleet = doc["fleet"];
    const bool named = fleet && fleet.IsMap() && fleet["id"] && fleet["id"].IsScalar();
    to.node = r.text(at, "node", named ? fleet["id"].Scalar().c_str() : "");
    to.spill = r.number(at, "spill", 0.01, 1e4, 1.5);
    to.most_in_hand = r.whole(at, "most_in_hand", 1.0, 1e6, 0.0);
    to.subset = r.whole(at, "subset", 1.0, 1e6, 0.0);
    if (to.subset != 0 && to.node.empty()) r.fail(at["subset"], "subset", "needs a node, by whose name it is chosen");
    to.hedging = flag(at, "hedging", false);
    to.affinity = flag(at, "affinity", false);
    to.probes = flag(at, "probes", true);
    to.watch = r.span(at, "watch_ms", 0.0, 1000.0);
    to.most_gone = r.number(at, "most_gone", 0.0, 1.0, 0.5);
    if (const YAML::Node t = at["retries"]) {
        r.only(t, "retries", {"share", "most_tries", "back_off_ms", "back_off_most_ms", "try_part"});
        to.retry_share = r.number(t, "share", 0.0, 1.0, 0.1);
        to.attempts.most_tries = r.whole(t, "most_tries", 1.0, 10.0, 3.0);
        to.attempts.back_off = r.span(t, "back_off_ms", 0.0, 25.0);
        to.attempts.back_off_most = r.span(t, "back_off_most_ms", 0.0, 1000.0);
        to.attempts.try_part = r.number(t, "try_part", 0.05, 1.0, 0.5);
    }
    const bool first = to.policy == routing::Policy::probe_first;
    if (first) to.probing.per_call = 5.0;
    if (const YAML::Node p = at["probing"]) {
        r.only(p, "probing", {"per_call", "pool", "most_age_ms", "hot", "patience_ms"});
        to.probing.per_call = r.number(p, "per_call", 0.0, 16.0, first ? 5.0 : 3.0);
        to.probe_patience = r.span(p, "patience_ms", 1.0, 10.0);
        to.probing.size = r.whole(p, "pool", 2.0, 256.0, 16.0);
        to.probing.most_age = r.span(p, "most_age_ms", 1.0, 1000.0);
        to.probing.hot = r.number(p, "hot", 0.0, 1.0, 0.0);
    }
    if (const YAML::Node m = at["members"]) {
        r.only(m, "members",
               {"suspect_after", "eject_after", "failing", "slow", "max_ejected", "panic_below", "eject_ms",
                "eject_most_ms", "slow_start_ms", "probe_ms"});
        membership::Rules& k = to.members;
        k.suspect_after = r.whole(m, "suspect_after", 1.0, 1e6, 2.0);
        k.eject_after = r.whole(m, "eject_after", 1.0, 1e6, 5.0);
        k.failing = r.number(m, "failing", 0.01, 1.0, 0.5);
        k.slow = r.number(m, "slow", 1.1, 1e6, 3.0);
        k.max_ejected = r.number(m, "max_ejected", 0.0, 1.0, 0.3);
        k.panic_below = r.number(m, "panic_below", 0.0, 1.0, 0.5);
        k.eject_for = r.span(m, "eject_ms", 1.0, 5000.0);
        k.eject_most = r.span(m, "eject_most_ms", 1.0, 60'000.0);
        k.slow_start = r.span(m, "slow_start_ms", 1.0, 10'000.0);
        k.probe_every = r.span(m, "probe_ms", 50.0, 2000.0);
        if (k.eject_most < k.eject_for) r.fail(m["eject_most_ms"], "eject_most_ms", "below eject_ms");
    }
    if (const YAML::Node s = at["slow_start"]) {
        r.only(s, "slow_start", {"calls_per_s", "from", "window_ms", "peers"});
        to.ramp.calls_per_s = r.number(s, "calls_per_s", 0.001, 1e6, needed);
        to.ramp.from = r.number(s, "from", 0.0, 1.0, 0.2);
        to.ramp.window = r.span(s, "window_ms", 10.0, 2000.0);
        to.ramp.peers = r.number(s, "peers", 1.0, 1e5, 32.0);
        if (fleet && to.node.empty()) r.fail(s, "slow_start", "needs a node, by whose name the calls are shared out");
    }
    to.ramp.warm_for = to.members.slow_start;
    if (const YAML::Node k = at["kept"]) {
        r.only(k, "kept", {"of_one", "in_all", "idle_ms", "age_ms"});
        to.kept = r.whole(k, "of_one", 0.0, 1e4, 4.0);
        to.kept_in_all = r.whole(k, "in_all", 0.0, 1e5, 64.0);
        to.kept_idle = r.span(k, "idle_ms", 1.0, 5000.0);
        to.kept_age = r.span(k, "age_ms", 1.0, 60'000.0);
    }
}

}  // namespace cressledge::config
