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
using emulator::ScenarioEvent;
using fake_upstream::ServiceTimeDistribution;

const std::map<std::string, emulator::BalancingChoice> choices = {
    {"two-choices", emulator::BalancingChoice::two_choices},
    {"probe-pool", emulator::BalancingChoice::probe_pool},
    {"probe-first", emulator::BalancingChoice::probe_first}};

const std::map<std::string, ServiceTimeDistribution> distributions = {
    {"exponential", ServiceTimeDistribution::exponential},
    {"constant", ServiceTimeDistribution::constant},
    {"lognormal", ServiceTimeDistribution::lognormal}};

const std::map<std::string, ScenarioEvent::Type> event_types = {
    {"slow", ScenarioEvent::Type::slow_down},
    {"fail", ScenarioEvent::Type::fail},
    {"mend", ScenarioEvent::Type::recover},
    {"restart-servers", ScenarioEvent::Type::restart_servers},
    {"restart-processes", ScenarioEvent::Type::restart_processes},
    {"processes", ScenarioEvent::Type::resize_fleet},
    {"burst", ScenarioEvent::Type::load_burst}};

std::vector<std::size_t> read_server_indices(const YamlReader& reader, const YAML::Node& list,
                                             std::size_t server_count) {
    std::vector<std::size_t> indices;
    if (!list || !list.IsSequence() || list.size() == 0)
        reader.fail(list, "servers", "must be a non-empty list of server indices");
    for (const auto& node : list) {
        std::size_t index = 0;
        if (!YAML::convert<std::size_t>::decode(node, index) || index >= server_count)
            reader.fail(node, "servers", "must be a server index below " + std::to_string(server_count));
        indices.push_back(index);
    }
    return indices;
}

ScenarioEvent read_event(const YamlReader& reader, const YAML::Node& node, const Experiment& experiment) {
    using Type = ScenarioEvent::Type;
    reader.require_known_keys(node, "events", {"at_s", "do", "servers", "by", "for_s"});
    ScenarioEvent event;
    event.at_s = reader.number(node, "at_s", 0.0, experiment.seconds, config::required);
    const auto type = event_types.find(reader.text(node, "do"));
    if (type == event_types.end())
        reader.fail(node["do"], "do",
                    "none of slow, fail, mend, restart-servers, restart-processes, processes, burst");
    event.type = type->second;
    const bool concerns_servers = event.type == Type::slow_down || event.type == Type::fail ||
                                  event.type == Type::recover || event.type == Type::restart_servers;
    if (concerns_servers)
        event.servers = read_server_indices(reader, node["servers"], experiment.servers);
    if (event.type == Type::slow_down || event.type == Type::load_burst)
        event.factor = reader.number(node, "by", 0.01, 100.0, config::required);
    if (event.type == Type::resize_fleet)
        event.factor = reader.integer(node, "by", 1.0, 1000.0, config::required);
    if (event.type == Type::restart_servers || event.type == Type::load_burst)
        event.duration_s = reader.number(node, "for_s", 0.0, 3600.0, 1.0);
    return event;
}

void read_capacities(const YamlReader& reader, const YAML::Node& list, std::vector<double>& capacities) {
    if (!list)
        return;
    capacities.clear();
    if (!list.IsSequence() || !YAML::convert<std::vector<double>>::decode(list, capacities) ||
        capacities.empty() || *std::min_element(capacities.begin(), capacities.end()) <= 0.0)
        reader.fail(list, "capacities", "must be a non-empty list of numbers above 0");
}

void read_servers(const YamlReader& reader, const YAML::Node& doc, Experiment& experiment) {
    const YAML::Node node = doc["servers"];
    if (!node)
        reader.fail(doc, "servers", "missing");
    reader.require_known_keys(node, "servers",
                              {"count", "capacities", "slots", "mean_ms", "law", "cold_s", "cold_speed"});
    experiment.servers = reader.integer(node, "count", 1.0, 1000.0, config::required);
    read_capacities(reader, node["capacities"], experiment.capacities);
    fake_upstream::ServerProfile& profile = experiment.server_profile;
    profile.slots = reader.integer(node, "slots", 1.0, 10'000.0, 8.0);
    profile.mean_service_time_s = reader.number(node, "mean_ms", 0.1, 60'000.0, 50.0) * 1e-3;
    const auto distribution = distributions.find(reader.text(node, "law", "exponential"));
    if (distribution == distributions.end())
        reader.fail(node["law"], "law", "none of exponential, constant, lognormal");
    profile.service_time_distribution = distribution->second;
    profile.warm_up_time = Duration(std::llround(reader.number(node, "cold_s", 0.0, 600.0, 10.0) * 1e6));
    profile.cold_start_speed = reader.number(node, "cold_speed", 0.01, 1.0, 0.2);
}

/// Reads the section `routing` with the checks that cressledge applies to it.
void read_routing(const YamlReader& reader, const YAML::Node& doc, Experiment& experiment) {
    YAML::Node completed = YAML::Clone(doc);
    if (!completed["routing"])
        completed["routing"]["policy"] = experiment.policy;
    completed["fleet"]["id"] = "n0";
    // A copy has no line numbers for errors, so it is read only if a subset needs the id that each process will have.
    const bool has_subset = doc["routing"] && doc["routing"].IsMap() && doc["routing"]["subset"];
    config::RoutingConfig routing;
    config::read_routing(reader, has_subset || !doc["routing"] ? completed : doc, routing);
    experiment.policy =
        completed["routing"]["policy"] ? completed["routing"]["policy"].Scalar() : "two-choices";
    if (choices.count(experiment.policy) == 0)
        reader.fail(doc["routing"], "policy",
                    "none of two-choices, probe-pool, probe-first: " + experiment.policy);
    YAML::Emitter one_line;
    one_line << YAML::Flow << completed["routing"];
    experiment.routing = one_line.c_str();
    std::erase(experiment.routing, '\n');
    experiment.subset_size = routing.subset_size;
    experiment.probing = routing.probing;
    experiment.server_profile.probes_per_call =
        std::max(1U, static_cast<unsigned>(std::lround(routing.probing.probes_per_call)));
}

void read_load(const YamlReader& reader, const YAML::Node& doc, Experiment& experiment) {
    const YAML::Node node = doc["load"];
    if (!node)
        reader.fail(doc, "load", "missing");
    reader.require_known_keys(node, "load", {"share", "arrivals"});
    experiment.load = reader.number(node, "share", 0.001, 10.0, config::required);
    const std::string arrivals = reader.text(node, "arrivals", "poisson");
    if (arrivals != "poisson" && arrivals != "bursty")
        reader.fail(node["arrivals"], "arrivals", "neither poisson nor bursty: " + arrivals);
    experiment.bursty = arrivals == "bursty";
}

void read_classes(const YamlReader& reader, const YAML::Node& doc, Experiment& experiment) {
    if (const YAML::Node classes = doc["classes"]) {
        for (const auto& node : classes) {
            reader.require_known_keys(node, "classes", {"name", "share", "once"});
            load_generator::RequestClass request_class{reader.text(node, "name"),
                                                       reader.number(node, "share", 0.0, 1e6, 1.0), false};
            if (node["once"] && !YAML::convert<bool>::decode(node["once"], request_class.at_most_once))
                reader.fail(node["once"], "once", "neither true nor false");
            experiment.classes.push_back(request_class);
        }
    }
    if (experiment.classes.empty())
        experiment.classes = {
            {"trail-sheet", 0.46, false}, {"route-profile", 0.46, false}, {"map-order", 0.08, true}};
}

Experiment read_experiment(const std::string& path, const YAML::Node& doc) {
    const YamlReader reader(path);
    reader.require_known_keys(doc, "file",
                              {"name", "seed", "processes", "servers", "routing", "load", "classes",
                               "warm_up_s", "seconds", "round_trip_ms", "gossip_loss", "events"});
    Experiment experiment;
    experiment.name = reader.text(doc, "name");
    experiment.seed = reader.integer(doc, "seed", 0.0, 4e9, 1.0);
    experiment.processes = reader.integer(doc, "processes", 1.0, 1000.0, config::required);
    experiment.warm_up_s = reader.number(doc, "warm_up_s", 0.0, 600.0, 3.0);
    experiment.seconds = reader.number(doc, "seconds", 1.0, 3600.0, 10.0);
    experiment.round_trip = reader.duration_ms(doc, "round_trip_ms", 0.002, 1.0);
    experiment.gossip_loss = reader.number(doc, "gossip_loss", 0.0, 1.0, 0.0);
    read_servers(reader, doc, experiment);
    read_routing(reader, doc, experiment);
    read_load(reader, doc, experiment);
    read_classes(reader, doc, experiment);
    if (const YAML::Node events = doc["events"])
        for (const auto& node : events)
            experiment.events.push_back(read_event(reader, node, experiment));
    return experiment;
}

}  // namespace

unsigned Experiment::slots(std::size_t server) const {
    const double capacity = capacities[server % capacities.size()];
    return std::max(1U, static_cast<unsigned>(std::lround(capacity * server_profile.slots)));
}

double Experiment::request_rate_s() const {
    double total_slots = 0.0;
    for (std::size_t i = 0; i < servers; ++i)
        total_slots += slots(i);
    return load * total_slots / server_profile.mean_service_time_s;
}

Experiment load_experiment(const std::string& path) {
    return config::load_yaml(path, read_experiment);
}

emulator::LoadSpreadScenario emulated_scenario(const Experiment& experiment) {
    emulator::LoadSpreadScenario scenario;
    scenario.choice = choices.at(experiment.policy);
    scenario.processes = experiment.processes;
    scenario.servers = experiment.servers;
    scenario.capacities = experiment.capacities;
    scenario.server_profile = experiment.server_profile;
    scenario.load = experiment.load;
    scenario.seconds = experiment.seconds;
    scenario.warm_up_s = experiment.warm_up_s;
    scenario.bursty = experiment.bursty;
    scenario.round_trip = experiment.round_trip;
    scenario.probes_per_call = experiment.server_profile.probes_per_call;
    scenario.probing = experiment.probing;
    scenario.subset_size = experiment.subset_size;
    scenario.seed = experiment.seed;
    scenario.events = experiment.events;
    return scenario;
}

}  // namespace cressledge::experiment
