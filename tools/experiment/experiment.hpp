// One experiment on the spread of load, as a YAML file describes it: it may be emulated or run with real processes, and
// is repeated by its seed. docs/operators/lab.md has the fields.
#pragma once

#include <string>
#include <vector>

#include "emulator/load_spread.hpp"
#include "load_generator/arrival_process.hpp"

namespace cressledge::experiment {

using base::Duration;
using base::Timestamp;

struct Experiment {
    std::string name;
    std::uint64_t seed = 1;
    std::size_t processes = 5, servers = 10;
    std::vector<double> capacities{1.0, 2.0, 4.0};
    fake_upstream::ServerProfile nature;  // of a server of capacity 1
    std::string policy = "probe-first";  // as in the operator's file
    std::string routing;  // the whole section, as YAML in one line
    std::size_t subset = 0;
    load_balancing::LoadProbeSettings probing;
    double load = 0.8;  // of all places
    bool bursty = false;
    double warm_up_s = 3.0, seconds = 10.0;
    Duration round_trip{1'000};  // emulated
    double gossip_loss = 0.0;  // share of the datagrams between processes that are lost
    std::vector<load_generator::RequestClass> kinds;
    std::vector<emulator::ScenarioEvent> troubles;

    unsigned places(std::size_t server) const;
    double rate_s() const;  // requests
};

Experiment load_experiment(const std::string& path);  // throws config::Invalid with file, line and field
emulator::LoadSpreadScenario emulated(const Experiment& e);

}  // namespace cressledge::experiment
