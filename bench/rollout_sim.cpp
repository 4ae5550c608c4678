// Emulated rollouts of 300 processes with noisy figures: how often a good version is reverted and a faulty one is
// completed. Seeded, so that a run gives the same numbers on every machine.
//
//   rollout_sim [--rolls 1000] [--processes 300] [--jobs 4] [--case good|noisy|tail|errors|crash|refusals|slower|all]
//
// Prints a table, a row for each case: rollouts, those done, reverted, and reverted in the first stage; the mean part
// of all requests that reached the new version (percent), and the mean duration (minutes of emulated time).
#include <cstdio>
#include <cxxopts.hpp>
#include <deque>
#include <future>
#include <map>

#include "emulator/rollout_emulation.hpp"

namespace {

using namespace cressledge::emulator;

// The faults of the new version, by case.
const std::map<std::string, VersionDefects> versions = {
    {"good", {}},
    {"noisy", {}},  // the same, on machines twice as uneven, a fifth of the fleet cut off for a while
    {"tail", {.slow_rate = 0.03, .slow_extra_ms = 3000.0}},
    {"errors", {.error_rate = 0.02}},
    {"crash", {.crash_after_s = 30.0}},
    {"refusals", {.rejection_rate = 0.05}},
    {"slower", {.latency_factor = 1.8}},
};

// Sums over the rollouts of a case.
struct CaseTotals {
    std::uint64_t done = 0;
    std::uint64_t reverted = 0;
    std::uint64_t reverted_in_first_stage = 0;
    // Of the requests that reached the new version; a sum over rollouts.
    double exposed_fraction = 0.0;
    double seconds = 0.0;

    void add(const RolloutResult& outcome) {
        done += outcome.completed ? 1 : 0;
        reverted += outcome.rolled_back ? 1 : 0;
        reverted_in_first_stage += outcome.rolled_back && outcome.stage == 0 ? 1 : 0;
        exposed_fraction += outcome.exposure;
        seconds += outcome.seconds;
    }
};

RolloutScenario make_case(const std::string& name, std::size_t processes, double bake_seconds) {
    RolloutScenario roll_case;
    roll_case.processes = processes;
    roll_case.new_version = versions.at(name);
    roll_case.plan.name = name;
    roll_case.plan.stages = {{0.0, 1}, {0.05, 0}, {0.25, 0}, {0.5, 0}, {1.0, 0}};
    roll_case.plan.bake_time = cressledge::base::Duration(static_cast<std::int64_t>(bake_seconds * 1e6));
    if (name == "noisy") {
        roll_case.machine_speed_sigma = 0.3;
        roll_case.shared_slowdown_sigma = 0.2;
        roll_case.has_partition = true;
    }
    return roll_case;
}

std::future<RolloutResult> start_rollout(RolloutScenario roll_case, std::uint64_t seed) {
    roll_case.seed = seed;
    return std::async(std::launch::async, [roll_case] { return emulate_rollout(roll_case); });
}

// Runs seeds 1 to `rollouts`, at most `jobs` at a time; results are taken in the order of the seeds.
CaseTotals run_case(const RolloutScenario& roll_case, std::uint64_t rollouts, unsigned jobs,
                    bool print_reasons) {
    CaseTotals totals;
    std::uint64_t next_seed = 1;
    std::deque<std::future<RolloutResult>> in_progress;
    while (next_seed <= rollouts || !in_progress.empty()) {
        while (next_seed <= rollouts && in_progress.size() < jobs)
            in_progress.push_back(start_rollout(roll_case, next_seed++));
        const RolloutResult outcome = in_progress.front().get();
        in_progress.pop_front();
        totals.add(outcome);
        if (print_reasons && !outcome.completed)
            std::printf("  stage %zu: %s\n", outcome.stage, outcome.rollback_reason.c_str());
    }
    return totals;
}

void print_row(const std::string& name, std::uint64_t rollouts, const CaseTotals& totals) {
    const auto count = static_cast<double>(rollouts);
    std::printf("%-10s %7lu %7lu %9lu %14lu %11.3f%% %10.1f\n", name.c_str(),
                static_cast<unsigned long>(rollouts), static_cast<unsigned long>(totals.done),
                static_cast<unsigned long>(totals.reverted),
                static_cast<unsigned long>(totals.reverted_in_first_stage),
                100.0 * totals.exposed_fraction / count, totals.seconds / 60.0 / count);
    std::fflush(stdout);
}

cxxopts::Options make_options() {
    cxxopts::Options options("rollout_sim", "emulated rolls");
    options.add_options()("rolls", "of each case", cxxopts::value<std::uint64_t>()->default_value("1000"))(
        "processes", "", cxxopts::value<std::size_t>()->default_value("300"))(
        "jobs", "at a time", cxxopts::value<unsigned>()->default_value("4"))(
        "bake", "of a stage, s", cxxopts::value<double>()->default_value("60"))(
        "case", "one, or all", cxxopts::value<std::string>()->default_value("all"))(
        "why", "print why each was stopped");
    return options;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        cxxopts::Options options = make_options();
        const auto arguments = options.parse(argc, argv);
        const auto selected_case = arguments["case"].as<std::string>();
        if (selected_case != "all" && versions.count(selected_case) == 0)
            throw std::invalid_argument(selected_case + ": no such case");
        const auto rollouts = arguments["rolls"].as<std::uint64_t>();
        std::printf("%-10s %7s %7s %9s %14s %12s %10s\n", "case", "rolls", "done", "reverted", "at stage one",
                    "met, mean", "minutes");
        for (const auto& [name, version] : versions) {
            if (selected_case != "all" && selected_case != name)
                continue;
            const RolloutScenario roll_case =
                make_case(name, arguments["processes"].as<std::size_t>(), arguments["bake"].as<double>());
            const CaseTotals totals =
                run_case(roll_case, rollouts, arguments["jobs"].as<unsigned>(), arguments.count("why") != 0);
            print_row(name, rollouts, totals);
        }
    } catch (const std::exception& e) {
        std::fprintf(stderr, "rollout_sim: %s\n", e.what());
        return 2;
    }
    return 0;
}
