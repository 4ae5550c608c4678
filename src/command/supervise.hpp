/// `cressledge supervise FILE`: keeps the processes of a file up until a signal ends it.
#pragma once

#include <string>

namespace cressledge::command {

/// Returns the exit status after SIGTERM or SIGINT. Throws config::ConfigError.
int supervise(const std::string& config_path);

}  // namespace cressledge::command
