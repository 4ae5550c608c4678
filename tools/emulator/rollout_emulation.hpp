/// Emulated rollouts: rollout::RolloutStateMachine with hundreds of processes whose metrics are random and as noisy as
/// real ones. Machines differ in speed, all processes slow down together for a while, processes crash for reasons
/// unrelated to the new version, observations are lost, and a part of the fleet can be cut off from the controller. The
/// result depends only on the scenario and its seed.
#pragma once

#include <string>

#include "rollout/rollout_state_machine.hpp"

namespace cressledge::emulator {

/// Defects of a version; none by default. Rates are fractions of requests.
struct VersionDefects {
    /// Fraction of responses that are delayed, and their delay in ms.
    double slow_rate = 0.0, slow_extra_ms = 0.0;
    /// Factor on the latencies of all responses.
    double latency_factor = 1.0;
    /// Additional errors of one class (route-profile).
    double error_rate = 0.0;
    /// Additional rejections of all classes.
    double rejection_rate = 0.0;
    /// Time from each start to a crash; 0 for no crashes.
    double crash_after_s = 0.0;
};

/// A rollout, its noise and its faults.
struct RolloutScenario {
    std::size_t processes = 300;
    /// Requests per second of each process.
    double request_rate_s = 8.0;
    VersionDefects new_version;
    rollout::RolloutPlan plan;
    /// Time between two observations of the fleet.
    double observation_interval_s = 5.0;

    /// Standard deviation of the logarithm of a machine's speed.
    double machine_speed_sigma = 0.15;
    /// Standard deviation of the logarithm of a slowdown common to all machines, with a correlation time of one minute.
    double shared_slowdown_sigma = 0.1;
    /// Fractions of requests that fail or are rejected in a median process of either version.
    double error_rate = 0.002, rejection_rate = 0.005;
    /// Crashes per hour of each process that have nothing to do with its version.
    double crashes_per_hour = 0.2;
    /// Probability that one observation of one process is lost.
    double observation_loss = 0.02;
    /// Whether a fifth of the fleet is cut off for 40 s during the second stage.
    bool has_partition = false;
    std::uint64_t seed = 1;
};

/// How a rollout ended.
struct RolloutResult {
    bool completed = false, rolled_back = false;
    /// The index of the last stage.
    std::size_t stage = 0;
    double seconds = 0.0;
    /// Fraction of all requests that the new version served.
    double exposure = 0.0;
    std::string rollback_reason;
};

/// Runs a rollout until it ends, at most for two hours of simulated time.
RolloutResult emulate_rollout(const RolloutScenario& scenario);

}  // namespace cressledge::emulator
