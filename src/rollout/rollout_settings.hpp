// The plan of a rolling change (docs/operators/roll.md).
#pragma once

#include "rollout/rollout_state_machine.hpp"

namespace cressledge::config {

struct RolloutSettings {
    rollout::RolloutPlan plan;
    std::vector<std::string> supervisor_addresses;  // control addresses
    policy::Duration observation_interval{1'000'000};  // between two looks at the fleet
};

RolloutSettings load_rollout(const std::string& path);  // throws Invalid with file, line and field

}  // namespace cressledge::config
