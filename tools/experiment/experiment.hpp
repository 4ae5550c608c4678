/// A load balancing experiment described by a YAML file. It can be emulated or run with real processes, and is
/// reproducible by its seed. docs/operators/lab.md describes the fields.
#pragma once

#include <string>
#include <vector>

#include "emulator/load_spread.hpp"
#include "load_generator/arrival_process.hpp"

namespace cressledge::experiment {

using base::Duration;
using base::Timestamp;

/// A validated experiment.
struct Experiment {
    std::string name;
    std::uint64_t seed = 1;
    std::size_t processes = 5, servers = 10;
    /// Capacities, assigned to the servers cyclically.
    std::vector<double> capacities{1.0, 2.0, 4.0};
    /// Profile of a server with capacity 1.
    fake_upstream::ServerProfile server_profile;
    /// Balancing policy, as `routing.policy` of an operator's file.
    std::string policy = "probe-first";
    /// The complete section `routing` as YAML on one line.
    std::string routing;
    std::size_t subset_size = 0;
    load_balancing::LoadProbeSettings probing;
    /// Offered load as a fraction of all slots.
    double load = 0.8;
    bool bursty = false;
    double warm_up_s = 3.0, seconds = 10.0;
    /// Round-trip time of the emulated network.
    Duration round_trip{1'000};
    /// Probability that a datagram between real processes is lost.
    double gossip_loss = 0.0;
    std::vector<load_generator::RequestClass> classes;
    std::vector<emulator::ScenarioEvent> events;

    /// Number of slots of a server.
    unsigned slots(std::size_t server) const;
    /// Requests per second that produce the load.
    double request_rate_s() const;
};

/// Reads an experiment from a file. Throws config::ConfigError with file, line and field.
Experiment load_experiment(const std::string& path);

/// Converts an experiment for the emulator.
emulator::LoadSpreadScenario emulated_scenario(const Experiment& experiment);

}  // namespace cressledge::experiment
