/// `cressledge check FILE...`: says what each file is and what is in force with it.
#pragma once

#include <string>
#include <vector>

namespace cressledge::command {

/// Returns the exit status. Throws config::ConfigError for the first bad file, or where there is none.
int check(const std::vector<std::string>& paths);

}  // namespace cressledge::command
