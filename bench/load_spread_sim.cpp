// Emulates many balancing processes, each with a partial view, before many servers of capacities 1, 2 and 4, and
// measures how evenly each balancing policy spreads the load. Bounded in time; deterministic for a given seed.
//
//   load_spread_sim [--processes 300] [--servers 300] [--slots 16] [--seconds 10] [--load 80,95]
//              [--trouble none|slow|fails|burst|cold|restart|crowd|dead]
//
// Prints a table with a row for each load and policy. "worst p99": 99th percentile over time of the busiest server's
// utilization over the mean; "over 2 s": longest time, in seconds, for which it was over 2; "cv": coefficient of
// variation of the utilizations; "idle": percent of server time without calls while another server queues; "x JSQ": the
// p99 latency over that of join-the-shortest-queue; "errors": percent of calls; "probes": probes per call; "moved":
// percent of subset places that a change in the number of processes moved.
#include <cstdio>
#include <cxxopts.hpp>

#include "emulator/load_spread.hpp"

namespace {

using namespace cressledge::emulator;

constexpr std::size_t crowd_processes_before = 50;
constexpr double crowd_processes_during = 300.0;

// Returns the faults of a named scenario. The first begins after a quarter of the simulated time.
std::vector<ScenarioEvent> faults_of(const std::string& scenario, const LoadSpreadScenario& spread) {
    const double start_s = spread.seconds / 4;
    if (scenario == "none")
        return {};
    if (scenario == "slow")
        return {{start_s, ScenarioEvent::Type::slow_down, {2}, 10.0, 0.0}};
    if (scenario == "fails")
        return {{start_s, ScenarioEvent::Type::fail, {1}, 1.0, 0.0}};
    if (scenario == "burst")
        return {{start_s, ScenarioEvent::Type::load_burst, {}, 2.0, 5.0}};
    if (scenario == "cold")
        return {{start_s, ScenarioEvent::Type::restart_servers, {2}, 1.0, 1.0}};
    if (scenario == "restart")
        return {{start_s, ScenarioEvent::Type::restart_processes, {}, 1.0, 0.0}};
    if (scenario == "crowd")
        return {{start_s, ScenarioEvent::Type::resize_fleet, {}, crowd_processes_during, 0.0},
                {3 * start_s,
                 ScenarioEvent::Type::resize_fleet,
                 {},
                 static_cast<double>(crowd_processes_before),
                 0.0}};
    if (scenario == "dead") {
        std::vector<std::size_t> every_third;
        for (std::size_t i = 0; i < spread.servers; i += 3)
            every_third.push_back(i);
        return {{start_s, ScenarioEvent::Type::restart_servers, every_third, 1.0, 2.0}};
    }
    throw std::invalid_argument(scenario + ": no such trouble");
}

cxxopts::Options make_options() {
    cxxopts::Options options("load_spread_sim", "even load from partial views");
    options.add_options()("processes", "balancing processes",
                          cxxopts::value<std::size_t>()->default_value("300"))(
        "servers", "servers", cxxopts::value<std::size_t>()->default_value("300"))(
        "slots", "calls at once of a server of capacity 1", cxxopts::value<unsigned>()->default_value("16"))(
        "seconds", "after the warm-up of 3 s", cxxopts::value<double>()->default_value("10"))(
        "load", "percent of all slots", cxxopts::value<std::vector<double>>()->default_value("80,95"))(
        "probes", "of a call, probed first", cxxopts::value<unsigned>()->default_value("5"))(
        "unexpected", "servers do not count the calls that late probes may bring")(
        "hot", "quantile, probe pool", cxxopts::value<double>()->default_value("0"))(
        "subset", "servers a process uses; 0: all", cxxopts::value<std::size_t>()->default_value("0"))(
        "trouble",
        "none, slow, fails, burst, cold (a server restarts), restart (all processes), crowd (50, 300, 50 "
        "processes) or dead (a third of the servers gone for 2 s)",
        cxxopts::value<std::string>()->default_value("none"))(
        "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"));
    return options;
}

LoadSpreadScenario read_spread(const cxxopts::ParseResult& arguments, double load_percent) {
    LoadSpreadScenario spread;
    spread.processes = arguments["processes"].as<std::size_t>();
    spread.servers = arguments["servers"].as<std::size_t>();
    spread.server_profile.slots = arguments["slots"].as<unsigned>();
    spread.seconds = arguments["seconds"].as<double>();
    spread.load = load_percent / 100.0;
    spread.probes_per_call = arguments["probes"].as<unsigned>();
    spread.reports_expected_calls = arguments.count("unexpected") == 0;
    spread.probing.hot_quantile = arguments["hot"].as<double>();
    spread.subset_size = arguments["subset"].as<std::size_t>();
    spread.seed = arguments["seed"].as<std::uint64_t>();
    const auto scenario = arguments["trouble"].as<std::string>();
    if (scenario == "crowd")
        spread.processes = crowd_processes_before;
    spread.events = faults_of(scenario, spread);
    return spread;
}

void print_header() {
    std::printf("%5s  %-24s %9s %9s %7s %8s %8s %8s %8s %9s %9s %7s\n", "load", "choice", "worst p99",
                "over 2 s", "cv", "idle", "p50 ms", "p99 ms", "x JSQ", "errors", "probes", "moved");
}

// Prints a row for each policy at one load; the first is join-the-shortest-queue, to which the others are compared.
void print_rows(LoadSpreadScenario spread, double load_percent) {
    double shortest_queue_p99_ms = 0.0;
    for (const BalancingChoice choice :
         {BalancingChoice::join_shortest_queue, BalancingChoice::random, BalancingChoice::round_robin,
          BalancingChoice::stale_reports, BalancingChoice::local_two_choices, BalancingChoice::two_choices,
          BalancingChoice::probe_pool, BalancingChoice::probe_first}) {
        spread.choice = choice;
        const LoadSpreadResult outcome = emulate_load_spread(spread);
        if (choice == BalancingChoice::join_shortest_queue)
            shortest_queue_p99_ms = outcome.p99_ms;
        std::printf("%4.0f%%  %-24s %9.3f %9.2f %7.3f %7.3f%% %8.1f %8.1f %8.2f %8.3f%% %9.2f %6.1f%%\n",
                    load_percent, to_string(choice), outcome.imbalance.peak_to_mean_p99,
                    outcome.imbalance.longest_time_above_s(2.0), outcome.imbalance.variation,
                    100.0 * outcome.imbalance.idle_fraction, outcome.p50_ms, outcome.p99_ms,
                    outcome.p99_ms / shortest_queue_p99_ms, 100.0 * outcome.error_rate,
                    static_cast<double>(outcome.probes) / static_cast<double>(outcome.calls),
                    100.0 * outcome.subset_churn);
        std::fflush(stdout);
    }
}

}  // namespace

int main(int argc, char** argv) {
    try {
        cxxopts::Options options = make_options();
        const auto arguments = options.parse(argc, argv);
        print_header();
        for (const double load_percent : arguments["load"].as<std::vector<double>>())
            print_rows(read_spread(arguments, load_percent), load_percent);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "load_spread_sim: %s\n", e.what());
        return 2;
    }
    return 0;
}
