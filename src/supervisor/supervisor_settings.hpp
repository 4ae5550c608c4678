/// The settings of a supervisor and the reader of its file (docs/operators/supervise.md).
#pragma once

#include <string>
#include <vector>

#include "supervisor/process_lifecycle.hpp"

namespace cressledge::supervisor {

/// One process that the supervisor keeps up.
struct ProcessSettings {
    /// Name of the process, unique within the supervisor.
    std::string id;
    /// Path of the operator's file. The settings in force are written beside it, as `FILE.live`.
    std::string settings_file;
    /// Path of the executable.
    std::string program;
};

/// A supervisor's file.
struct SupervisorSettings {
    /// Where the supervisor itself answers, as `HOST:PORT`.
    std::string admin_address;
    std::vector<ProcessSettings> processes;
    /// Directory with a log file for each process; empty: processes write to the supervisor's standard error.
    std::string log_directory;
    SupervisionPolicy policy;
};

/// Reads the file at `path`. Throws `config::ConfigError` with file, line and field.
SupervisorSettings load_supervisor_settings(const std::string& path);

}  // namespace cressledge::supervisor
