/// Checks whether enough processes of a fleet are observed for a valid canary analysis. No I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "rollout/process_observation.hpp"
#include "rollout/rollout_state.hpp"
#include "rollout/traffic_monitor.hpp"

namespace cressledge::rollout {

/// Returns why a stage cannot be analyzed at `now`, or none if it can. It cannot if too many processes of either group
/// are unreachable or were last seen longer ago than `max_age`, or if the membership tables of the processes differ.
std::optional<std::string> find_visibility_problem(Timestamp now, Duration max_age,
                                                   const std::vector<RolloutTarget>& targets,
                                                   const Observations& observations,
                                                   const TrafficMonitor& traffic);

}  // namespace cressledge::rollout
