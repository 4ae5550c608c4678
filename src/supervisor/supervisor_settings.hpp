/// The settings of a supervisor and the parser of its file (docs/operators/supervise.md).
#pragma once

#include <string>
#include <vector>

#include "supervisor/process_lifecycle.hpp"

namespace cressledge::supervisor {

/// Settings of one supervised process.
struct ProcessSettings {
    /// Name of the process, unique within the supervisor.
    std::string id;
    /// Path of the operator's file. The live settings are written next to it, as `FILE.live`.
    std::string settings_file;
    /// Path of the executable that the first generation runs.
    std::string program;
};

/// Settings of a supervisor.
struct SupervisorSettings {
    /// Admin address of the supervisor itself, in the form `HOST:PORT`.
    std::string admin_address;
    std::vector<ProcessSettings> processes;
    /// Directory for the log files, one per process; empty: processes write to the supervisor's standard error.
    std::string log_directory;
    SupervisionPolicy policy;
};

/// Reads the file at `path`. Throws `config::ConfigError` with file, line and field.
SupervisorSettings load_supervisor_settings(const std::string& path);

}  // namespace cressledge::supervisor
