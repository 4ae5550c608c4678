/// Runs an experiment with real processes (processes of cressledge, the fake upstreams, the load driver, and the events
/// of the experiment at their times) or in the emulator. Both reports have the same figures.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "experiment/experiment.hpp"

namespace cressledge::experiment {

/// Programs and files of a run with real processes.
struct TrialEnvironment {
    /// Path of cressledge.
    std::string program;
    /// Path of cressledge_lab, which is also started as a child process to run the fake upstreams.
    std::string lab_program;
    std::string experiment_file;
    /// An existing folder for files and logs.
    std::string directory;
    /// Called with a progress message every few seconds, unless empty.
    std::function<void(const std::string&)> on_progress;
};

/// Runs an experiment with real processes and returns its report. Throws std::runtime_error if a process does not start
/// or is not ready within a minute, and on SIGINT and SIGTERM.
nlohmann::ordered_json run_trial(const Experiment& experiment, const TrialEnvironment& environment);

/// Runs an experiment in the emulator and returns its report.
nlohmann::ordered_json emulate(const Experiment& experiment);

}  // namespace cressledge::experiment
