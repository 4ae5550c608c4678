/// Runs of an experiment: with real processes (the program many times over, the fake upstreams behind them, the load
/// driver in front, and the experiment's events at their times), or in the emulator. Both reports have the same figures.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "experiment/experiment.hpp"

namespace cressledge::experiment {

/// The programs and files of a run with real processes.
struct TrialEnvironment {
    /// The path of cressledge.
    std::string program;
    /// The path of cressledge_lab, which serves the fake upstreams as a child process.
    std::string lab_program;
    std::string experiment_file;
    /// An existing folder for files and logs.
    std::string directory;
    /// Called with a line of progress every few seconds; empty: none.
    std::function<void(const std::string&)> on_progress;
};

/// Runs an experiment with real processes; its report. Throws std::runtime_error where something does not start or is
/// not ready within a minute, and on SIGINT and SIGTERM.
nlohmann::ordered_json run_trial(const Experiment& experiment, const TrialEnvironment& environment);

/// Runs an experiment in the emulator; its report.
nlohmann::ordered_json emulate(const Experiment& experiment);

}  // namespace cressledge::experiment
