// The file of a supervisor: which processes it keeps up (docs/operators/supervise.md).
#pragma once

#include "supervisor/supervisor.hpp"

namespace cressledge::config {

supervisor::SupervisorSettings load_supervisor(
    const std::string& path);  // throws Invalid with file, line and field

}  // namespace cressledge::config
