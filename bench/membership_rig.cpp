// Runs many real processes on loopback with a relay that injects faults between them, and measures how long their
// membership tables take to agree after a fault. Bounded in count and time; every process that it starts is ended.
//
//   membership_rig join|kill|leave|loss|partition|pause|replace|bytes [--processes 200] [--program build/cressledge]
//
// Prints one JSON object a line for each measurement: times in ms (`*_ms`) or s (`seconds`), rates in bytes or
// datagrams per second and process (`*_per_process_s`).
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <set>

#include "json_line.hpp"
#include "membership_testbed.hpp"

namespace {

using namespace cressledge;
using base::Duration;
using base::Timestamp;
using bench::MembershipTestbed;
using bench::print_json_line;
using bench::seed_members;
using bench::to_duration;
using bench::to_seconds;
using nlohmann::ordered_json;

/// Graceful departures begin this many members after the seeds, past those killed by an earlier `kill` scenario.
constexpr std::size_t first_departing_offset = 40;
constexpr double start_timeout_s = 60;
constexpr double agreement_timeout_s = 30;
constexpr double progress_interval_s = 30;
constexpr double pause_s = 3;
constexpr double replacement_s = 7;
/// Duration for which new members exchange more data than others.
constexpr double settling_s = 10;

/// Starts all processes; the time counts from the start of the last one.
void run_join(MembershipTestbed& testbed, std::size_t processes) {
    const Timestamp first_start = testbed.now();
    for (std::size_t i = 0; i < processes; ++i)
        testbed.add_process();
    const Timestamp last_start = testbed.now();
    auto result = testbed.measure_agreement(last_start, start_timeout_s);
    result["what"] = "join";
    result["processes"] = processes;
    result["starting_ms"] = (last_start - first_start).count() / 1000;
    print_json_line(result);
}

void run_kills(MembershipTestbed& testbed, int count) {
    constexpr long not_agreed = -1;
    std::vector<long> worst_ms;
    for (int i = 0; i < count; ++i) {
        const std::size_t killed = seed_members + static_cast<std::size_t>(i);
        const Timestamp killed_at = testbed.now();
        testbed.cluster.send_signal(killed, SIGKILL);
        auto result = testbed.measure_agreement(killed_at, agreement_timeout_s);
        worst_ms.push_back(result["not_agreed"] == 0 ? result["worst_ms"].get<long>() : not_agreed);
        result["what"] = "kill";
        result["member"] = testbed.cluster.id(killed);
        print_json_line(result);
    }
    std::sort(worst_ms.begin(), worst_ms.end());
    print_json_line({{"what", "kills"},
                     {"count", count},
                     {"median_ms", worst_ms[worst_ms.size() / 2]},
                     {"worst_ms", worst_ms.back()},
                     {"not_agreed", std::count(worst_ms.begin(), worst_ms.end(), not_agreed)}});
}

void run_departures(MembershipTestbed& testbed, int count) {
    std::vector<long> worst_ms;
    for (int i = 0; i < count; ++i) {
        const std::size_t departing = seed_members + first_departing_offset + static_cast<std::size_t>(i);
        if (departing >= testbed.cluster.size())
            break;
        const Timestamp signalled_at = testbed.now();
        testbed.cluster.send_signal(departing, SIGTERM);
        const auto result = testbed.measure_agreement(signalled_at, agreement_timeout_s);
        worst_ms.push_back(result.value("worst_ms", -1L));
    }
    std::sort(worst_ms.begin(), worst_ms.end());
    print_json_line({{"what", "leaves"},
                     {"count", worst_ms.size()},
                     {"median_ms", worst_ms[worst_ms.size() / 2]},
                     {"worst_ms", worst_ms.back()}});
}

void run_loss(MembershipTestbed& testbed, double seconds, double loss_fraction) {
    const auto metrics = {"dead",        "suspicions",  "suspected", "refuted",
                          "refutations", "standstills", "probes",    "indirect_probes"};
    testbed.cluster.relay().set_faults({loss_fraction, 0.0, Duration(0), Duration(0)});
    const Timestamp end = testbed.now() + to_duration(seconds);
    while (testbed.now() < end) {
        testbed.wait(std::min(progress_interval_s, to_seconds(end - testbed.now())));
        auto progress = testbed.sum_metrics(metrics);
        progress["what"] = "loss, so far";
        progress["seconds"] = seconds - to_seconds(end - testbed.now());
        print_json_line(progress);
    }
    auto result = testbed.sum_metrics(metrics);
    result["what"] = "loss";
    result["share"] = loss_fraction;
    result["lost"] = testbed.cluster.relay().counters().lost;
    result["passed"] = testbed.cluster.relay().counters().forwarded;
    result["crashes"] = testbed.cluster.crashes();
    print_json_line(result);
}

void run_partition(MembershipTestbed& testbed, double seconds) {
    const auto running = testbed.cluster.running_processes();
    std::set<std::string> first_half_ids;
    std::vector<std::size_t> halves[2];
    for (std::size_t i = 0; i < running.size(); ++i) {
        halves[i % 2].push_back(running[i]);
        if (i % 2 == 0)
            first_half_ids.insert(testbed.cluster.id(running[i]));
    }
    const Timestamp partitioned_at = testbed.now();
    testbed.cluster.relay().partition(first_half_ids);
    for (const auto& half : halves) {
        auto result = testbed.measure_agreement(half, half, partitioned_at, seconds);
        result["what"] = "partition, each half of itself";
        print_json_line(result);
    }
    testbed.wait(std::max(0.0, seconds - to_seconds(testbed.now() - partitioned_at)));
    const Timestamp healed_at = testbed.now();
    testbed.cluster.relay().heal();
    auto result = testbed.measure_agreement(healed_at, start_timeout_s);
    result["what"] = "heal";
    result["cut_seconds"] = seconds;
    print_json_line(result);
}

/// Suspends the last process and resumes it.
void run_pause(MembershipTestbed& testbed) {
    const std::size_t paused = testbed.cluster.running_processes().back();
    const std::uint64_t suspicions_before = testbed.cluster.metrics(paused)["fleet.suspicions"];
    testbed.cluster.send_signal(paused, SIGSTOP);
    testbed.wait(pause_s);
    const Timestamp resumed_at = testbed.now();
    testbed.cluster.send_signal(paused, SIGCONT);
    auto result = testbed.measure_agreement(resumed_at, agreement_timeout_s);
    result["what"] = "pause";
    result["seconds"] = pause_s;
    result["suspicions_by_it"] = testbed.cluster.metrics(paused)["fleet.suspicions"] - suspicions_before;
    print_json_line(result);
}

/// Replaces six in ten of the processes, by SIGTERM and SIGKILL in turn, at an even rate.
void run_replacement(MembershipTestbed& testbed) {
    const std::size_t processes = testbed.cluster.size();
    const std::size_t replaced = processes * 6 / 10;
    const Timestamp start = testbed.now();
    for (std::size_t i = 0; i < replaced; ++i) {
        testbed.cluster.send_signal(processes - 1 - i, i % 2 == 0 ? SIGTERM : SIGKILL);
        testbed.add_process();
        const double next_s = replacement_s * static_cast<double>(i + 1) / static_cast<double>(replaced);
        const Timestamp next_at = start + to_duration(next_s);
        if (testbed.now() < next_at)
            testbed.cluster.run(next_at);
    }
    const Timestamp last_start = testbed.now();
    auto result = testbed.measure_agreement(last_start, start_timeout_s);
    result["what"] = "replace";
    result["replaced"] = replaced;
    result["within_ms"] = (last_start - start).count() / 1000;
    print_json_line(result);
}

void run_bytes(MembershipTestbed& testbed, double seconds) {
    testbed.wait(settling_s);
    const auto before = testbed.sum_metrics({"bytes_sent", "bytes_received", "datagrams_sent"});
    const Timestamp start = testbed.now();
    testbed.wait(seconds);
    const auto after = testbed.sum_metrics({"bytes_sent", "bytes_received", "datagrams_sent"});
    const std::size_t processes = testbed.cluster.running_processes().size();
    const double process_seconds = to_seconds(testbed.now() - start) * static_cast<double>(processes);
    const auto rate = [&](const char* name) {
        const std::uint64_t count = after[name].get<std::uint64_t>() - before[name].get<std::uint64_t>();
        return std::lround(static_cast<double>(count) / process_seconds);
    };
    print_json_line({{"what", "bytes"},
                     {"processes", processes},
                     {"seconds", seconds},
                     {"sent_per_process_s", rate("bytes_sent")},
                     {"received_per_process_s", rate("bytes_received")},
                     {"datagrams_per_process_s", rate("datagrams_sent")}});
}

cxxopts::Options make_options() {
    cxxopts::Options options("membership_rig", "many processes, with faults between them");
    options.add_options()(
        "what", "join, kill, leave, loss, partition, pause, replace, bytes; several may follow each other",
        cxxopts::value<std::vector<std::string>>())("n,processes", "how many",
                                                    cxxopts::value<std::size_t>()->default_value("200"))(
        "program", "the program", cxxopts::value<std::string>()->default_value("build/cressledge"))(
        "probe", "probe period, ms", cxxopts::value<int>()->default_value("250"))(
        "seconds", "loss, partition, bytes: how long", cxxopts::value<double>()->default_value("30"))(
        "times", "kill, leave: how many", cxxopts::value<int>()->default_value("20"))(
        "loss", "share of datagrams lost", cxxopts::value<double>()->default_value("0.1"))(
        "seed", "of the relay", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "keep", "a folder for files and logs", cxxopts::value<std::string>());
    options.parse_positional({"what"});
    return options;
}

fault_injection::ClusterSpec read_plan(const cxxopts::ParseResult& arguments) {
    fault_injection::ClusterSpec plan;
    plan.program = std::filesystem::absolute(arguments["program"].as<std::string>());
    plan.probe_ms = arguments["probe"].as<int>();
    plan.seed = arguments["seed"].as<std::uint64_t>();
    char temporary_folder[] = "/tmp/fleet-rig-XXXXXX";
    plan.directory =
        arguments.count("keep") != 0 ? arguments["keep"].as<std::string>() : mkdtemp(temporary_folder);
    std::filesystem::create_directories(plan.directory);
    return plan;
}

void run_scenario(MembershipTestbed& testbed, const std::string& name,
                  const cxxopts::ParseResult& arguments) {
    const double seconds = arguments["seconds"].as<double>();
    const int count = arguments["times"].as<int>();
    if (name == "kill")
        run_kills(testbed, count);
    else if (name == "leave")
        run_departures(testbed, count);
    else if (name == "loss")
        run_loss(testbed, seconds, arguments["loss"].as<double>());
    else if (name == "partition")
        run_partition(testbed, seconds);
    else if (name == "pause")
        run_pause(testbed);
    else if (name == "replace")
        run_replacement(testbed);
    else if (name == "bytes")
        run_bytes(testbed, seconds);
    else if (name != "join")  // every run begins with it
        throw std::invalid_argument(name + ": no such scenario");
}

/// Runs the named scenarios in order; every process has ended when it returns or throws.
void run_scenarios(const fault_injection::ClusterSpec& plan, const cxxopts::ParseResult& arguments) {
    MembershipTestbed testbed(plan);
    run_join(testbed, arguments["processes"].as<std::size_t>());
    for (const std::string& name : arguments["what"].as<std::vector<std::string>>())
        run_scenario(testbed, name, arguments);
    if (testbed.cluster.crashes() > 0)
        print_json_line({{"what", "crashes"}, {"count", testbed.cluster.crashes()}});
}

}  // namespace

int main(int argc, char** argv) {
    try {
        cxxopts::Options options = make_options();
        const auto arguments = options.parse(argc, argv);
        const fault_injection::ClusterSpec plan = read_plan(arguments);
        run_scenarios(plan, arguments);
        if (arguments.count("keep") == 0)
            std::filesystem::remove_all(plan.directory);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "membership_rig: %s\n", e.what());
        return 2;
    }
    return 0;
}
