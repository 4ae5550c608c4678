/// The file of a rollout and its reader (docs/operators/roll.md).
#pragma once

#include <string>
#include <vector>

#include "rollout/rollout_plan.hpp"

namespace cressledge::rollout {

/// The file of one rollout: its plan, and where and how often the fleet is observed.
struct RolloutSettings {
    RolloutPlan plan;
    /// Admin addresses of the supervisors, as `HOST:PORT`.
    std::vector<std::string> supervisor_addresses;
    /// From one observation of the fleet to the next.
    Duration observation_interval{1'000'000};
};

/// Reads the file at `path`. Throws `config::ConfigError` with file, line and field.
RolloutSettings load_rollout_settings(const std::string& path);

}  // namespace cressledge::rollout
