// `cressledge supervise FILE`: keeps the processes of a file up until it is told to end.
#pragma once

#include <string>

namespace cressledge::command {

int supervise(const std::string& config_path);

}  // namespace cressledge::command
