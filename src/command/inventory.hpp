/// `cressledge inventory check|show FILE` and `cressledge inventory diff FILE FILE`: validates an inventory, prints its
/// servers, or compares two inventories.
#pragma once

#include <string>
#include <vector>

namespace cressledge::command {

/// `arguments`: the action (`check`, `show` or `diff`) and the files. Returns the exit status. Errors in rows are printed to
/// standard error. Throws config::ConfigError for any other error.
int inventory(const std::vector<std::string>& arguments, bool prints_json);

}  // namespace cressledge::command
