// Emulated rolls: rollout::Roll as it is, before hundreds of processes whose figures are drawn by chance and are noisy as
// those of real ones: machines differ, all get slower for a while together, processes die for no fault of the change,
// looks get lost and parts of the fleet are cut off from whoever watches.
#pragma once

#include <pcg_random.hpp>

#include "rollout/rollout_state_machine.hpp"

namespace cressledge::emulator {

struct Version {  // what is wrong with it, if anything is
    double slow_share = 0.0, slow_ms = 0.0;  // so many answers take so much longer
    double slower = 1.0;  // all of them by this factor
    double errors = 0.0;  // of one class, beyond those of before
    double refusals = 0.0;  // of all
    double crash_after_s = 0.0;  // of each start; 0: it does not
};

struct RollCase {
    std::size_t processes = 300;
    double rate_s = 8.0;  // requests of each process
    Version fresh;
    rollout::RolloutPlan plan;
    double looks_s = 5.0;  // between two
    // Noise.
    double machines = 0.15;  // standard deviation of the logarithm of a process's own times
    double weather = 0.1;  // of what all share, changing over a minute
    double errors = 0.002, refusals = 0.005;  // shares at all times, for a process in the middle
    double deaths_an_hour = 0.2;  // of each process
    double lost_looks = 0.02;
    bool cut_off = false;  // a fifth of the fleet, for 40 s, during the second stage
    std::uint64_t seed = 1;
};

struct RollOutcome {
    bool done = false, reverted = false;
    std::size_t stage = 0;  // where it ended
    double seconds = 0.0, met = 0.0;  // met: share of all requests until the end that the new version got
    std::string why;
};

RollOutcome run(const RollCase& c);

}  // namespace cressledge::emulator
