// `cressledge roll PLAN --state FOLDER [--report FILE] [--take-back]`: a change of the fleet in stages.
#pragma once

#include <string>

namespace cressledge::command {

int roll(const std::string& plan_path, const std::string& state_directory, const std::string& report_path,
         bool rolls_back);

}  // namespace cressledge::command
