// An experiment with real processes: the program many times over, the stand-in servers behind them, the load driver in
// front, and the experiment's events at their times. Its report has the same figures as the emulator's.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "experiment/experiment.hpp"

namespace cressledge::experiment {

struct Where {
    std::string program;  // cressledge
    std::string self;  // this tool, which serves the stand-in servers as its child
    std::string file;  // of the experiment
    std::string folder;  // for files and logs; it exists
    std::function<void(const std::string&)> progress;  // a line every few seconds; empty: none
};

// Throws std::runtime_error where something does not start, or is not ready within a minute.
nlohmann::ordered_json trial(const Experiment& e, const Where& where);
nlohmann::ordered_json emulate(const Experiment& e);

// The operator's settings of a process of an experiment, without its addresses: room enough that the module refuses
// nothing for want of it.
std::string general_settings(const Experiment& e);

}  // namespace cressledge::experiment
