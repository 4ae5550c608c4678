/// One load balancing experiment as a YAML file describes it: it may be emulated or run with real processes, and is
/// repeated by its seed. docs/operators/lab.md has the fields.
#pragma once

#include <string>
#include <vector>

#include "emulator/load_spread.hpp"
#include "load_generator/arrival_process.hpp"

namespace cressledge::experiment {

using base::Duration;
using base::Timestamp;

/// An experiment, checked.
struct Experiment {
    std::string name;
    std::uint64_t seed = 1;
    std::size_t processes = 5, servers = 10;
    /// Of servers in turn.
    std::vector<double> capacities{1.0, 2.0, 4.0};
    /// Of a server of capacity 1.
    fake_upstream::ServerProfile server_profile;
    /// As `routing.policy` of an operator's file.
    std::string policy = "probe-first";
    /// The whole section `routing`, as YAML in one line.
    std::string routing;
    std::size_t subset_size = 0;
    load_balancing::LoadProbeSettings probing;
    /// Offered load as a fraction of all slots.
    double load = 0.8;
    bool bursty = false;
    double warm_up_s = 3.0, seconds = 10.0;
    /// Of the emulated network.
    Duration round_trip{1'000};
    /// Probability that a datagram between real processes is lost.
    double gossip_loss = 0.0;
    std::vector<load_generator::RequestClass> classes;
    std::vector<emulator::ScenarioEvent> events;

    /// Slots of one server.
    unsigned slots(std::size_t server) const;
    /// Requests a second that make up the load.
    double request_rate_s() const;
};

/// Reads an experiment. Throws config::ConfigError with file, line and field.
Experiment load_experiment(const std::string& path);

/// The same experiment for the emulator.
emulator::LoadSpreadScenario emulated_scenario(const Experiment& experiment);

}  // namespace cressledge::experiment
