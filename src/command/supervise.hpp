/// `cressledge supervise FILE`: runs and restarts the processes listed in the file until SIGTERM or SIGINT.
#pragma once

#include <string>

namespace cressledge::command {

/// Runs the supervisor. Returns the exit status once all processes have ended after SIGTERM or SIGINT. Throws
/// config::ConfigError.
int supervise(const std::string& config_path);

}  // namespace cressledge::command
