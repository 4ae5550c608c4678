/// The fake upstream servers of an experiment as a separate program. It reads commands from standard input and writes
/// replies to standard output, each a line of JSON. The first line written holds the addresses of the servers.
///
/// Commands: {"do": "slow"|"fail"|"mend"|"restart", "servers": [...], ...}, {"do": "observe", "on": ...} and
/// {"do": "report"}. The reply to an invalid command is {"bad": reason}.
#pragma once

#include "experiment/experiment.hpp"

namespace cressledge::experiment {

/// Serves until standard input ends and returns the exit status. Throws std::runtime_error if a server cannot listen or
/// standard input is not a pipe.
int run_fake_upstream_service(const Experiment& experiment);

}  // namespace cressledge::experiment
