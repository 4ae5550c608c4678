// How evenly each rule of choice spreads the load of many processes over many servers of capacities 1, 2 and 4, in one
// table. Bounded; the same numbers on every machine for one seed.
//
//   load_spread_sim [--processes 300] [--servers 300] [--slots 16] [--seconds 10] [--load 80,95]
//              [--trouble none|slow|fails|burst|cold|restart|crowd|dead]
#include <cstdio>
#include <cxxopts.hpp>

#include "emulator/load_spread.hpp"

namespace {

using namespace cressledge::emulator;

// The hard cases, a quarter of the time in.
std::vector<ScenarioEvent> troubles(const std::string& name, const LoadSpreadScenario& s) {
    const double at = s.seconds / 4;
    std::vector<std::size_t> third;
    for (std::size_t i = 0; i < s.servers; i += 3)
        third.push_back(i);
    if (name == "none")
        return {};
    if (name == "slow")
        return {{at, ScenarioEvent::Type::slow_down, {2}, 10.0, 0.0}};
    if (name == "fails")
        return {{at, ScenarioEvent::Type::fail, {1}, 1.0, 0.0}};
    if (name == "burst")
        return {{at, ScenarioEvent::Type::load_burst, {}, 2.0, 5.0}};
    if (name == "cold")
        return {{at, ScenarioEvent::Type::restart_servers, {2}, 1.0, 1.0}};
    if (name == "restart")
        return {{at, ScenarioEvent::Type::restart_processes, {}, 1.0, 0.0}};
    if (name == "crowd")
        return {{at, ScenarioEvent::Type::resize_fleet, {}, 300.0, 0.0},
                {3 * at, ScenarioEvent::Type::resize_fleet, {}, 50.0, 0.0}};
    if (name == "dead")
        return {{at, ScenarioEvent::Type::restart_servers, third, 1.0, 2.0}};
    throw std::invalid_argument(name + ": no such trouble");
}

}  // namespace

int main(int argc, char** argv) {
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
    try {
        const auto given = options.parse(argc, argv);
        std::printf("%5s  %-24s %9s %9s %7s %8s %8s %8s %8s %9s %9s %7s\n", "load", "choice", "worst p99",
                    "over 2 s", "cv", "idle", "p50 ms", "p99 ms", "x JSQ", "errors", "probes", "moved");
        for (const double load : given["load"].as<std::vector<double>>()) {
            LoadSpreadScenario s;
            s.processes = given["processes"].as<std::size_t>();
            s.servers = given["servers"].as<std::size_t>();
            s.server_profile.slots = given["slots"].as<unsigned>();
            s.seconds = given["seconds"].as<double>();
            s.load = load / 100.0;
            s.probes_per_call = given["probes"].as<unsigned>();
            s.reports_expected_calls = given.count("unexpected") == 0;
            s.probing.hot_quantile = given["hot"].as<double>();
            s.subset_size = given["subset"].as<std::size_t>();
            s.seed = given["seed"].as<std::uint64_t>();
            const auto trouble = given["trouble"].as<std::string>();
            if (trouble == "crowd")
                s.processes = 50;
            s.events = troubles(trouble, s);
            double best = 0.0;
            for (const BalancingChoice c :
                 {BalancingChoice::join_shortest_queue, BalancingChoice::random, BalancingChoice::round_robin,
                  BalancingChoice::stale_reports, BalancingChoice::local_two_choices,
                  BalancingChoice::two_choices, BalancingChoice::probe_pool, BalancingChoice::probe_first}) {
                s.choice = c;
                const LoadSpreadResult o = emulate_load_spread(s);
                if (c == BalancingChoice::join_shortest_queue)
                    best = o.p99_ms;
                std::printf(
                    "%4.0f%%  %-24s %9.3f %9.2f %7.3f %7.3f%% %8.1f %8.1f %8.2f %8.3f%% %9.2f %6.1f%%\n",
                    load, to_string(c), o.imbalance.peak_to_mean_p99, o.imbalance.longest_time_above_s(2.0),
                    o.imbalance.variation, 100.0 * o.imbalance.idle_fraction, o.p50_ms, o.p99_ms,
                    o.p99_ms / best, 100.0 * o.error_rate,
                    static_cast<double>(o.probes) / static_cast<double>(o.calls), 100.0 * o.subset_churn);
                std::fflush(stdout);
            }
        }
    } catch (const std::exception& e) {
        std::fprintf(stderr, "load_spread_sim: %s\n", e.what());
        return 2;
    }
    return 0;
}
