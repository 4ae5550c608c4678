/// Whether enough of a fleet is seen for its canary analysis to mean anything. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rollout/process_observation.hpp"
#include "rollout/rollout_state.hpp"
#include "rollout/traffic_monitor.hpp"

namespace cressledge::rollout {

/// Why a stage cannot be analyzed at `now`: too many processes of either group are unreachable or were last seen longer
/// ago than `max_age`, or the processes are split between several fleets. None where it can be.
std::optional<std::string> find_visibility_problem(Timestamp now, Duration max_age,
                                                   const std::vector<RolloutTarget>& targets,
                                                   const Observations& observations,
                                                   const TrafficMonitor& traffic);

}  // namespace cressledge::rollout
