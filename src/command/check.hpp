/// `cressledge check FILE...`: validates configuration files and inventories and prints what each one is.
#pragma once

#include <string>
#include <vector>

namespace cressledge::command {

/// Returns the exit status. Throws config::ConfigError for the first invalid file, or if `paths` is empty.
int check(const std::vector<std::string>& paths);

}  // namespace cressledge::command
