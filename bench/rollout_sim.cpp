// Emulated rolls of 300 processes with noisy figures: how often a good change is stopped and a bad one let through.
//
//   rollout_sim [--rolls 1000] [--processes 300] [--jobs 4] [--case good|noisy|tail|errors|crash|refusals|slower|all]
#include <cstdio>
#include <cxxopts.hpp>
#include <future>
#include <map>

#include "emulator/rollout_emulation.hpp"

namespace {

using namespace cressledge::emulator;

const std::map<std::string, VersionDefects> versions = {
    {"good", {}},
    {"noisy", {}},  // the same, on machines twice as uneven, a fifth of the fleet cut off for a while
    {"tail", {.slow_rate = 0.03, .slow_extra_ms = 3000.0}},
    {"errors", {.error_rate = 0.02}},
    {"crash", {.crash_after_s = 30.0}},
    {"refusals", {.rejection_rate = 0.05}},
    {"slower", {.latency_factor = 1.8}},
};

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("rollout_sim", "emulated rolls");
    options.add_options()("rolls", "of each case", cxxopts::value<std::uint64_t>()->default_value("1000"))(
        "processes", "", cxxopts::value<std::size_t>()->default_value("300"))(
        "jobs", "at a time", cxxopts::value<unsigned>()->default_value("4"))(
        "bake", "of a stage, s", cxxopts::value<double>()->default_value("60"))(
        "case", "one, or all", cxxopts::value<std::string>()->default_value("all"))(
        "why", "print why each was stopped");
    try {
        const auto given = options.parse(argc, argv);
        const auto only = given["case"].as<std::string>();
        if (only != "all" && versions.count(only) == 0)
            throw std::invalid_argument(only + ": no such case");
        const auto rolls = given["rolls"].as<std::uint64_t>();
        std::printf("%-10s %7s %7s %9s %14s %12s %10s\n", "case", "rolls", "done", "reverted", "at stage one",
                    "met, mean", "minutes");
        for (const auto& [name, version] : versions) {
            if (only != "all" && only != name)
                continue;
            RolloutScenario c;
            c.processes = given["processes"].as<std::size_t>();
            c.new_version = version;
            c.plan.name = name;
            c.plan.stages = {{0.0, 1}, {0.05, 0}, {0.25, 0}, {0.5, 0}, {1.0, 0}};
            c.plan.bake_time =
                cressledge::base::Duration(static_cast<std::int64_t>(given["bake"].as<double>() * 1e6));
            if (name == "noisy")
                c.machine_speed_sigma = 0.3, c.shared_slowdown_sigma = 0.2, c.has_partition = true;
            std::uint64_t done = 0, reverted = 0, first = 0, next = 1;
            double met = 0.0, seconds = 0.0;
            std::vector<std::future<RolloutResult>> under_way;
            while (next <= rolls || !under_way.empty()) {
                while (next <= rolls && under_way.size() < given["jobs"].as<unsigned>())
                    under_way.push_back(std::async(std::launch::async, [c, seed = next++]() mutable {
                        c.seed = seed;
                        return emulate_rollout(c);
                    }));
                const RolloutResult o = under_way.front().get();
                under_way.erase(under_way.begin());
                done += o.completed ? 1 : 0;
                reverted += o.rolled_back ? 1 : 0;
                first += o.rolled_back && o.stage == 0 ? 1 : 0;
                met += o.exposure;
                seconds += o.seconds;
                if (given.count("why") != 0 && !o.completed)
                    std::printf("  stage %zu: %s\n", o.stage, o.rollback_reason.c_str());
            }
            std::printf("%-10s %7lu %7lu %9lu %14lu %11.3f%% %10.1f\n", name.c_str(),
                        static_cast<unsigned long>(rolls), static_cast<unsigned long>(done),
                        static_cast<unsigned long>(reverted), static_cast<unsigned long>(first),
                        100.0 * met / static_cast<double>(rolls),
                        seconds / 60.0 / static_cast<double>(rolls));
            std::fflush(stdout);
        }
    } catch (const std::exception& e) {
        std::fprintf(stderr, "rollout_sim: %s\n", e.what());
        return 2;
    }
    return 0;
}
