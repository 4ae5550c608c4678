/// `cressledge roll PLAN --state FOLDER [--report FILE] [--take-back]`: a change of the fleet in stages.
#pragma once

#include <string>

namespace cressledge::command {

/// Runs the rollout, or takes it up again from its state. Returns the exit status (docs/operators/roll.md). An empty
/// `report_path` writes no report. Throws config::ConfigError.
int roll(const std::string& plan_path, const std::string& state_directory, const std::string& report_path,
         bool rolls_back);

}  // namespace cressledge::command
