/// `cressledge roll PLAN --state FOLDER [--report FILE] [--take-back]`: rolls out a change to the fleet in
/// stages.
#pragma once

#include <string>

namespace cressledge::command {

/// Runs the rollout, or resumes it from the state in `state_directory`. `rolls_back` reverts the change. Returns the exit
/// status (docs/operators/roll.md). No report is written if `report_path` is empty. Throws config::ConfigError.
int roll(const std::string& plan_path, const std::string& state_directory, const std::string& report_path,
         bool rolls_back);

}  // namespace cressledge::command
