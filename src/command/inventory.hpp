/// `cressledge inventory check|show FILE`, `diff FILE FILE`: what is wrong with an inventory, what is in one, what differs
/// between two.
#pragma once

#include <string>
#include <vector>

namespace cressledge::command {

/// `arguments`: the verb and the files. Returns the exit status; what is wrong with rows goes to standard error. Throws
/// config::ConfigError.
int inventory(const std::vector<std::string>& arguments, bool prints_json);

}  // namespace cressledge::command
