/// `cressledge state show|check|export|reset FOLDER`: prints, validates, exports or deletes learned state. FOLDER is
/// `learning.folder` of the operator's file.
#pragma once

#include <string>
#include <vector>

namespace cressledge::command {

/// `arguments`: the action and the folder. Returns the exit status: `exit_check_failed` if a check found a file that cannot
/// be used. Throws config::ConfigError.
int state(const std::vector<std::string>& arguments, bool prints_json);

}  // namespace cressledge::command
