#include "experiment/experiment.hpp"

#include <algorithm>
#include <cmath>
#include <map>

#include "config/node.hpp"
#include "config/reader.hpp"
#include "config/routing.hpp"

namespace cressledge::experiment {
namespace {

using config::YamlReader;

const std::map<std::string, emulator::BalancingChoice> choices = {
    {"two-choices", emulator::BalancingChoice::two_choices},
    {"probe-pool", emulator::BalancingChoice::probe_pool},
    {"probe-first", emulator::BalancingChoice::probe_first}};

std::vector<std::size_t> numbers(const YamlReader& r, const YAML::Node& at, std::size_t below) {
    std::vector<std::size_t> all;
    if (!at || !at.IsSequence() || at.size() == 0)
        r.fail(at, "servers", "no list of servers by number");
    for (const auto& n : at) {
        std::size_t no = 0;
        if (!YAML::convert<std::size_t>::decode(n, no) || no >= below)
            r.fail(n, "servers", "no such server");
        all.push_back(no);
    }
    return all;
}

emulator::ScenarioEvent trouble(const YamlReader& r, const YAML::Node& t, const Experiment& e) {
    using T = emulator::ScenarioEvent;
    static const std::map<std::string, T::Type> words = {{"slow", T::Type::slow_down},
                                                         {"fail", T::Type::fail},
                                                         {"mend", T::Type::recover},
                                                         {"restart-servers", T::Type::restart_servers},
                                                         {"restart-processes", T::Type::restart_processes},
                                                         {"processes", T::Type::resize_fleet},
                                                         {"burst", T::Type::load_burst}};
    r.require_known_keys(t, "events", {"at_s", "do", "servers", "by", "for_s"});
    T out;
    out.at_s = r.number(t, "at_s", 0.0, e.seconds, config::required);
    const auto what = words.find(r.text(t, "do"));
    if (what == words.end())
        r.fail(t["do"], "do",
               "none of slow, fail, mend, restart-servers, restart-processes, processes, burst");
    out.type = what->second;
    const bool at_servers = out.type <= T::Type::restart_servers;
    if (at_servers)
        out.servers = numbers(r, t["servers"], e.servers);
    if (out.type == T::Type::slow_down || out.type == T::Type::load_burst)
        out.factor = r.number(t, "by", 0.01, 100.0, config::required);
    if (out.type == T::Type::resize_fleet)
        out.factor = r.integer(t, "by", 1.0, 1000.0, config::required);
    if (out.type == T::Type::restart_servers || out.type == T::Type::load_burst)
        out.duration_s = r.number(t, "for_s", 0.0, 3600.0, 1.0);
    return out;
}

Experiment read(const std::string& path, const YAML::Node& doc) {
    const YamlReader r(path);
    r.require_known_keys(doc, "file",
                         {"name", "seed", "processes", "servers", "routing", "load", "classes", "warm_up_s",
                          "seconds", "round_trip_ms", "gossip_loss", "events"});
    Experiment e;
    e.name = r.text(doc, "name");
    e.seed = r.integer(doc, "seed", 0.0, 4e9, 1.0);
    e.processes = r.integer(doc, "processes", 1.0, 1000.0, config::required);
    e.warm_up_s = r.number(doc, "warm_up_s", 0.0, 600.0, 3.0);
    e.seconds = r.number(doc, "seconds", 1.0, 3600.0, 10.0);
    e.round_trip = r.duration_ms(doc, "round_trip_ms", 0.002, 1.0);
    e.gossip_loss = r.number(doc, "gossip_loss", 0.0, 1.0, 0.0);
    const YAML::Node s = doc["servers"];
    if (!s)
        r.fail(doc, "servers", "missing");
    r.require_known_keys(s, "servers",
                         {"count", "capacities", "slots", "mean_ms", "law", "cold_s", "cold_speed"});
    e.servers = r.integer(s, "count", 1.0, 1000.0, config::required);
    if (const YAML::Node c = s["capacities"]) {
        e.capacities.clear();
        if (!c.IsSequence() || !YAML::convert<std::vector<double>>::decode(c, e.capacities) ||
            e.capacities.empty() || *std::min_element(e.capacities.begin(), e.capacities.end()) <= 0.0)
            r.fail(c, "capacities", "no list of numbers above 0");
    }
    e.nature.slots = r.integer(s, "slots", 1.0, 10'000.0, 8.0);
    e.nature.mean_service_time_s = r.number(s, "mean_ms", 0.1, 60'000.0, 50.0) * 1e-3;
    const std::string law = r.text(s, "law", "exponential");
    if (law != "exponential" && law != "constant" && law != "lognormal")
        r.fail(s["law"], "law", "none of exponential, constant, lognormal");
    e.nature.service_time_distribution = law == "constant" ? fake_upstream::ServiceTimeDistribution::constant
                                         : law == "lognormal"
                                             ? fake_upstream::ServiceTimeDistribution::lognormal
                                             : fake_upstream::ServiceTimeDistribution::exponential;
    e.nature.warm_up_time = Duration(std::llround(r.number(s, "cold_s", 0.0, 600.0, 10.0) * 1e6));
    e.nature.cold_start_speed = r.number(s, "cold_speed", 0.01, 1.0, 0.2);
    // Checked as the program will check it.
    config::RoutingConfig routing;
    YAML::Node with = YAML::Clone(doc);
    if (!with["routing"])
        with["routing"]["policy"] = e.policy;
    with["fleet"]["id"] = "n0";
    // A copy has no line numbers: it is read only where a subset needs the id that each process will have.
    const bool subset = doc["routing"] && doc["routing"].IsMap() && doc["routing"]["subset"];
    config::read_routing(r, subset || !doc["routing"] ? with : doc, routing);
    e.policy = with["routing"]["policy"] ? with["routing"]["policy"].Scalar() : "two-choices";
    if (choices.count(e.policy) == 0)
        r.fail(doc["routing"], "policy", "not emulated: " + e.policy);
    YAML::Emitter flow;
    flow << YAML::Flow << with["routing"];
    e.routing = flow.c_str();
    e.routing.erase(std::remove(e.routing.begin(), e.routing.end(), '\n'), e.routing.end());
    e.subset = routing.subset_size;
    e.probing = routing.probing;
    e.nature.probes_per_call =
        std::max(1U, static_cast<unsigned>(std::lround(routing.probing.probes_per_call)));
    const YAML::Node l = doc["load"];
    if (!l)
        r.fail(doc, "load", "missing");
    r.require_known_keys(l, "load", {"share", "arrivals"});
    e.load = r.number(l, "share", 0.001, 10.0, config::required);
    const std::string arrivals = r.text(l, "arrivals", "poisson");
    if (arrivals != "poisson" && arrivals != "bursty")
        r.fail(l["arrivals"], "arrivals", "neither poisson nor bursty");
    e.bursty = arrivals == "bursty";
    if (const YAML::Node classes = doc["classes"]) {
        for (const auto& c : classes) {
            r.require_known_keys(c, "classes", {"name", "share", "once"});
            load_generator::RequestClass k{r.text(c, "name"), r.number(c, "share", 0.0, 1e6, 1.0), false};
            if (c["once"] && !YAML::convert<bool>::decode(c["once"], k.at_most_once))
                r.fail(c["once"], "once", "neither true nor false");
            e.kinds.push_back(k);
        }
    }
    if (e.kinds.empty())
        e.kinds = {{"trail-sheet", 0.46, false}, {"route-profile", 0.46, false}, {"map-order", 0.08, true}};
    if (const YAML::Node events = doc["events"])
        for (const auto& t : events)
            e.troubles.push_back(trouble(r, t, e));
    return e;
}

}  // namespace

unsigned Experiment::places(std::size_t server) const {
    return std::max(
        1U, static_cast<unsigned>(std::lround(capacities[server % capacities.size()] * nature.slots)));
}

double Experiment::rate_s() const {
    double all = 0.0;
    for (std::size_t i = 0; i < servers; ++i)
        all += places(i);
    return load * all / nature.mean_service_time_s;
}

Experiment load_experiment(const std::string& path) {
    return config::load_yaml(path, read);
}

emulator::LoadSpreadScenario emulated(const Experiment& e) {
    emulator::LoadSpreadScenario s;
    s.choice = choices.at(e.policy);
    s.processes = e.processes;
    s.servers = e.servers;
    s.capacities = e.capacities;
    s.server_profile = e.nature;
    s.load = e.load;
    s.seconds = e.seconds;
    s.warm_up_s = e.warm_up_s;
    s.bursty = e.bursty;
    s.round_trip = e.round_trip;
    s.probes_per_call = e.nature.probes_per_call;
    s.probing = e.probing;
    s.subset_size = e.subset;
    s.seed = e.seed;
    s.events = e.troubles;
    return s;
}

}  // namespace cressledge::experiment
