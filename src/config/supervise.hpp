/// The file of a supervisor: which processes it keeps up (docs/operators/supervise.md). Read by the supervisor's module.
#pragma once

#include <string>

#include "supervisor/supervisor.hpp"

namespace cressledge::config {

/// Throws ConfigError with file, line and field.
supervisor::SupervisorSettings load_supervisor(const std::string& path);

}  // namespace cressledge::config
