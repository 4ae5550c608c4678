// Emulated fleets of the gossip protocol in one process: how long a crash, a join and a leave take until every member
// knows them, whether a live member is declared dead, and what the protocol costs beside an all-to-all heartbeat.
// Bounded in count and time; seeded, so that a run gives the same numbers on every machine.
//
//   gossip_sim sizes [--most 10000]           detection times, ms, by fleet size
//   gossip_sim runs [--runs 1000] [--loss 1]  false deaths over seeded runs with lost datagrams (percent)
//   gossip_sim bytes                          bytes a process sends a second
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>
#include <string>

#include "emulator/fleet.hpp"

namespace {

using namespace cressledge;
using emulator::Fleet;
using membership::MemberState;

constexpr std::int64_t detection_timeout_ms = 30'000;
constexpr std::uint64_t sizes_random_seed = 17;
constexpr std::uint64_t bytes_random_seed = 23;

base::Duration milliseconds(std::int64_t count) {
    return base::Duration(count * 1000);
}

membership::MembershipSettings settings_with(std::int64_t probe_ms) {
    membership::MembershipSettings settings;
    settings.probe_interval = milliseconds(probe_ms);
    return settings;
}

// When a change of one member was known, in ms after it; -1: not within the timeout.
struct DetectionTime {
    double first_ms = -1;
    double all_ms = -1;
};

// When the first and when all other running members had `state` for member `index`.
DetectionTime wait_until_known(Fleet& fleet, std::size_t index, MemberState state) {
    const base::Timestamp start = fleet.now();
    DetectionTime detection;
    fleet.run(start + milliseconds(detection_timeout_ms), milliseconds(10), [&] {
        std::size_t informed = 0;
        std::size_t running = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (i == index || !fleet.running(i))
                continue;
            ++running;
            informed += fleet.view(i).state_of(fleet.id(index)) == state;
        }
        const double elapsed_ms = static_cast<double>((fleet.now() - start).count()) / 1000.0;
        if (informed > 0 && detection.first_ms < 0)
            detection.first_ms = elapsed_ms;
        if (informed == running)
            detection.all_ms = elapsed_ms;
        return informed == running;
    });
    return detection;
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values.empty() ? 0.0 : values[values.size() / 2];
}

// A cell of the table: median (worst).
std::string format_cell(const std::vector<double>& values) {
    const double worst = *std::max_element(values.begin(), values.end());
    return std::to_string(std::lround(median(values))) + " (" + std::to_string(std::lround(worst)) + ")";
}

int repeats_for(std::size_t members) {
    if (members >= 10'000)
        return 3;
    return members >= 1'000 ? 10 : 20;
}

void print_size_row(std::size_t members, std::int64_t probe_ms) {
    const int repeats = repeats_for(members);
    std::vector<double> crash_first;
    std::vector<double> crash_all;
    std::vector<double> join_all;
    std::vector<double> leave_all;
    Fleet fleet(members + 64, settings_with(probe_ms), {}, sizes_random_seed);
    fleet.start_converged(members);
    fleet.run(fleet.now() + milliseconds(2'000));
    for (int i = 0; i < repeats; ++i) {
        const auto crashed = static_cast<std::size_t>(i) * 4 + 3;
        fleet.crash(crashed);
        const DetectionTime crash = wait_until_known(fleet, crashed, MemberState::dead);
        crash_first.push_back(crash.first_ms);
        crash_all.push_back(crash.all_ms);
        const std::size_t joined = fleet.start({0});
        join_all.push_back(wait_until_known(fleet, joined, MemberState::alive).all_ms);
        const std::size_t departed = crashed + 1;
        fleet.leave(departed);
        leave_all.push_back(wait_until_known(fleet, departed, MemberState::left).all_ms);
    }
    std::printf("%8zu %8d %18s %18s %18s %18s %12llu\n", members, repeats, format_cell(crash_first).c_str(),
                format_cell(crash_all).c_str(), format_cell(join_all).c_str(), format_cell(leave_all).c_str(),
                static_cast<unsigned long long>(fleet.false_deaths()));
    std::fflush(stdout);
}

int run_sizes(std::size_t max_members, std::int64_t probe_ms) {
    std::printf("probe period %lld ms, no loss; times in ms, median (worst) over the repeats\n",
                static_cast<long long>(probe_ms));
    std::printf("%8s %8s %18s %18s %18s %18s %12s\n", "members", "repeats", "crash first", "crash all",
                "join all", "leave all", "false deaths");
    for (const std::size_t members : {std::size_t{100}, std::size_t{1'000}, std::size_t{10'000}})
        if (members <= max_members)
            print_size_row(members, probe_ms);
    return 0;
}

// Sums over the seeded runs.
struct RunTotals {
    std::uint64_t false_deaths = 0;
    std::uint64_t disagreements = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t refutations = 0;
};

void run_seed(std::uint64_t seed, double loss_percent, std::size_t members, std::int64_t probe_ms,
              RunTotals& totals) {
    Fleet fleet(members + 4, settings_with(probe_ms),
                {loss_percent / 100.0, base::Duration(200), base::Duration(2'000)}, seed);
    fleet.start_converged(members);
    fleet.run(fleet.now() + milliseconds(10'000));
    fleet.crash(3);
    fleet.start({0});
    const bool agreed = fleet.run(fleet.now() + milliseconds(10'000), milliseconds(50),
                                  [&] { return fleet.has_converged(); });
    totals.disagreements += agreed ? 0 : 1;
    totals.false_deaths += fleet.false_deaths();
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (!fleet.running(i))
            continue;
        totals.suspicions += fleet.view(i).counters().suspicions_raised;
        totals.refutations += fleet.view(i).counters().own_refutations;
    }
}

int run_seeds(int count, double loss_percent, std::size_t members, std::int64_t probe_ms) {
    RunTotals totals;
    for (int seed = 1; seed <= count; ++seed) {
        run_seed(static_cast<std::uint64_t>(seed), loss_percent, members, probe_ms, totals);
        if (seed % 100 == 0)
            std::fprintf(stderr, "%d runs, %llu false deaths\n", seed,
                         static_cast<unsigned long long>(totals.false_deaths));
    }
    std::printf(
        "%d seeded runs of %zu members at %.1f%% loss: %llu live members declared dead (in any view), %llu "
        "runs without agreement 10 s after a crash and a join, %llu suspicions raised, %llu refuted by their "
        "subjects\n",
        count, members, loss_percent, static_cast<unsigned long long>(totals.false_deaths),
        static_cast<unsigned long long>(totals.disagreements),
        static_cast<unsigned long long>(totals.suspicions),
        static_cast<unsigned long long>(totals.refutations));
    return totals.false_deaths == 0 && totals.disagreements == 0 ? 0 : 1;
}

// Bytes a process sends a second where each member sends each other its own entry in every probe period.
double heartbeat_bytes_per_second(std::size_t members, std::int64_t probe_ms) {
    membership::Message message;
    message.sender = {"n100", {1, 1}, 1, 0, MemberState::alive, {}};
    return static_cast<double>((members - 1) * membership::max_encoded_size(message, 5)) * 1000.0 /
           static_cast<double>(probe_ms);
}

int run_bytes(std::int64_t probe_ms) {
    constexpr std::int64_t measured_seconds = 120;
    std::printf("bytes sent a process a second, quiet fleet, 120 s, probe period %lld ms\n",
                static_cast<long long>(probe_ms));
    std::printf("%8s %12s %22s\n", "members", "gossip", "all-to-all heartbeat");
    for (const std::size_t members : {std::size_t{50}, std::size_t{200}, std::size_t{800}}) {
        Fleet fleet(members, settings_with(probe_ms), {}, bytes_random_seed);
        fleet.start_converged(members);
        fleet.run(fleet.now() + milliseconds(5'000));
        const auto bytes_before = fleet.bytes();
        fleet.run(fleet.now() + milliseconds(measured_seconds * 1000));
        std::printf("%8zu %12.0f %22.0f\n", members,
                    static_cast<double>(fleet.bytes() - bytes_before) /
                        static_cast<double>(measured_seconds) / static_cast<double>(members),
                    heartbeat_bytes_per_second(members, probe_ms));
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("gossip_sim", "the gossip membership in an emulated fleet");
    options.add_options()("what", "sizes, runs or bytes",
                          cxxopts::value<std::string>()->default_value("sizes"))(
        "most", "sizes: the largest fleet", cxxopts::value<std::size_t>()->default_value("10000"))(
        "runs", "seeded runs", cxxopts::value<int>()->default_value("1000"))(
        "loss", "runs: percent of datagrams", cxxopts::value<double>()->default_value("1"))(
        "members", "runs: fleet size", cxxopts::value<std::size_t>()->default_value("100"))(
        "probe", "probe period, ms", cxxopts::value<std::int64_t>()->default_value("250"));
    options.parse_positional({"what"});
    const auto arguments = options.parse(argc, argv);
    const auto experiment = arguments["what"].as<std::string>();
    const auto probe_ms = arguments["probe"].as<std::int64_t>();
    if (experiment == "sizes")
        return run_sizes(arguments["most"].as<std::size_t>(), probe_ms);
    if (experiment == "runs")
        return run_seeds(arguments["runs"].as<int>(), arguments["loss"].as<double>(),
                         arguments["members"].as<std::size_t>(), probe_ms);
    if (experiment == "bytes")
        return run_bytes(probe_ms);
    std::fprintf(stderr, "gossip_sim: sizes, runs or bytes\n");
    return 2;
}
