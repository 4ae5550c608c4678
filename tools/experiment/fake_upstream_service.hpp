/// The fake upstream servers of an experiment as a program of their own: commands on standard input and replies on
/// standard output, each a line of JSON. The first line it writes has the addresses of the servers.
///
/// Commands: {"do": "slow"|"fail"|"mend"|"restart", "servers": [...], ...}, {"do": "observe", "on": ...} and
/// {"do": "report"}. A command that cannot be carried out is answered with {"bad": reason}.
#pragma once

#include "experiment/experiment.hpp"

namespace cressledge::experiment {

/// Serves until standard input ends; the exit status. Throws std::runtime_error where a server cannot listen or standard
/// input is no pipe.
int run_fake_upstream_service(const Experiment& experiment);

}  // namespace cressledge::experiment
