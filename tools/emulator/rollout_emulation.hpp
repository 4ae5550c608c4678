/// Emulated rollouts: rollout::RolloutStateMachine before hundreds of processes whose metrics are drawn by chance and as
/// noisy as those of real ones. Machines differ, all processes get slower for a while together, processes crash for no
/// fault of the new version, observations get lost, and parts of the fleet are cut off from the controller. The result
/// depends only on the scenario and its seed.
#pragma once

#include <string>

#include "rollout/rollout_state_machine.hpp"

namespace cressledge::emulator {

/// The defects of a version, if it has any. Rates are fractions of requests.
struct VersionDefects {
    /// So many answers take so much longer.
    double slow_rate = 0.0, slow_extra_ms = 0.0;
    /// All answers take this factor of their time.
    double latency_factor = 1.0;
    /// Additional errors of one class.
    double error_rate = 0.0;
    /// Additional rejections of all classes.
    double rejection_rate = 0.0;
    /// Time from each start to a crash; 0: it does not crash.
    double crash_after_s = 0.0;
};

/// One rollout and the noise around it.
struct RolloutScenario {
    std::size_t processes = 300;
    /// Requests a second of each process.
    double request_rate_s = 8.0;
    VersionDefects new_version;
    rollout::RolloutPlan plan;
    /// Time between two observations of the fleet.
    double observation_interval_s = 5.0;

    /// Standard deviation of the logarithm of a machine's speed.
    double machine_speed_sigma = 0.15;
    /// Standard deviation of the logarithm of a slow-down that all machines share and that changes within a minute.
    double shared_slowdown_sigma = 0.1;
    /// Fractions of requests of a median process, whatever its version.
    double error_rate = 0.002, rejection_rate = 0.005;
    /// Of each process.
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
    /// Fraction of all requests that the new version got.
    double exposure = 0.0;
    std::string rollback_reason;
};

/// Runs a rollout to its end, or for two hours of emulated time.
RolloutResult emulate_rollout(const RolloutScenario& scenario);

}  // namespace cressledge::emulator
