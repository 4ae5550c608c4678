#include "emulator/load_spread.hpp"

#include "emulator/load_spread_simulation.hpp"

namespace cressledge::emulator {

const char* to_string(BalancingChoice choice) {
    switch (choice) {
        case BalancingChoice::random:
            return "random";
        case BalancingChoice::round_robin:
            return "round robin";
        case BalancingChoice::stale_reports:
            return "least loaded, 1 s old";
        case BalancingChoice::local_two_choices:
            return "two choices, own calls";
        case BalancingChoice::two_choices:
            return "two-choices (EWMA)";
        case BalancingChoice::probe_pool:
            return "probe-pool";
        case BalancingChoice::probe_first:
            return "probe-first";
        case BalancingChoice::join_shortest_queue:
            return "shortest queue (JSQ)";
    }
    return "";
}

LoadSpreadResult emulate_load_spread(const LoadSpreadScenario& scenario) {
    return LoadSpreadSimulation(scenario).run();
}

}  // namespace cressledge::emulator
