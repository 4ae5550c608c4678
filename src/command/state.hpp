/// `cressledge state show|check|export|reset FOLDER`: what is saved of the estimates, in the folder of the operator's
/// file's section `learning`.
#pragma once

#include <string>
#include <vector>

namespace cressledge::command {

/// `arguments`: the verb and the folder. Returns the exit status, which tells whether a check found a file it cannot use.
/// Throws config::ConfigError.
int state(const std::vector<std::string>& arguments, bool prints_json);

}  // namespace cressledge::command
