/// The settings file of a rollout and its parser (docs/operators/roll.md).
#pragma once

#include <string>
#include <vector>

#include "rollout/rollout_plan.hpp"

namespace cressledge::rollout {

/// Settings of one rollout: its plan, the supervisors of the fleet and the observation interval.
struct RolloutSettings {
    RolloutPlan plan;
    /// Admin addresses of the supervisors, in the form `HOST:PORT`.
    std::vector<std::string> supervisor_addresses;
    /// Time between two observations of the fleet.
    Duration observation_interval{1'000'000};
};

/// Reads the file at `path`. Throws `config::ConfigError` with file, line and field.
RolloutSettings load_rollout_settings(const std::string& path);

}  // namespace cressledge::rollout
