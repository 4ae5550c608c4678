// Many real processes of the program on loopback with the relay between them: how long their views take to agree when
// parts fail. Bounded in count and time; everything it starts it ends. A line of JSON for each figure.
//
//   membership_rig join|kill|leave|loss|partition|pause|replace|bytes [--processes 200] [--program build/cressledge]
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "fault_injection/process_cluster.hpp"

namespace {

using namespace cressledge;
using base::Duration;
using base::Timestamp;
using nlohmann::ordered_json;

struct Rig {
    base::TimerQueue timers;
    net::Loop loop{timers};
    fault_injection::ProcessCluster cluster;
    std::size_t seeds = 3;
    explicit Rig(const fault_injection::ClusterSpec& plan) : cluster(loop, timers, plan) {}
    Timestamp now() { return loop.unix_now(); }
    void say(const ordered_json& j) {
        std::printf("%s\n", j.dump().c_str());
        std::fflush(stdout);
    }
    void wait(double seconds) { cluster.run(now() + Duration(static_cast<std::int64_t>(seconds * 1e6))); }
    std::size_t add() {
        std::vector<std::size_t> at;
        for (std::size_t s = 0; s < std::min(seeds, cluster.size()); ++s)
            at.push_back(s);
        return cluster.add(at);
    }
    // Ms from `since` until each of `whom` saw `expected`; reports median and worst, and who did not by the bound.
    ordered_json spread(const std::vector<std::size_t>& whom, const std::vector<std::size_t>& expected,
                        Timestamp since, double bound_s) {
        std::vector<double> ms;
        std::size_t missing = 0;
        for (const auto& s : cluster.wait_for_view(
                 whom, expected, now() + Duration(static_cast<std::int64_t>(bound_s * 1e6)))) {
            if (s)
                ms.push_back(static_cast<double>((*s - since).count()) / 1000.0);
            else
                ++missing;
        }
        std::sort(ms.begin(), ms.end());
        ordered_json j;
        j["views"] = whom.size();
        j["not_agreed"] = missing;
        if (!ms.empty())
            j["median_ms"] = std::lround(ms[ms.size() / 2]), j["worst_ms"] = std::lround(ms.back());
        return j;
    }
    ordered_json spread(Timestamp since, double bound_s) {
        const auto all = cluster.running_processes();
        return spread(all, all, since, bound_s);
    }
    // Starts all and waits for them; the time counts from when the last process was started.
    void gather(std::size_t n) {
        const Timestamp from = now();
        for (std::size_t i = 0; i < n; ++i)
            add();
        const Timestamp started = now();
        auto j = spread(started, 60);
        j["what"] = "join";
        j["processes"] = n;
        j["starting_ms"] = (started - from).count() / 1000;
        say(j);
    }
    ordered_json sums(std::initializer_list<const char*> names) {
        ordered_json j = ordered_json::object();
        for (const std::size_t no : cluster.running_processes()) {
            const auto f = cluster.metrics(no);
            for (const char* name : names) {
                std::string key = "fleet.";
                const auto it = f.find(key += name);
                j[name] = j.value(name, std::uint64_t{0}) + (it == f.end() ? 0 : it->second);
            }
        }
        return j;
    }
};

void kills(Rig& r, int times) {
    std::vector<long> worst;
    for (int k = 0; k < times; ++k) {
        const std::size_t victim = r.seeds + static_cast<std::size_t>(k);
        const Timestamp at = r.now();
        r.cluster.send_signal(victim, SIGKILL);
        auto j = r.spread(at, 30);
        worst.push_back(j["not_agreed"] == 0 ? j["worst_ms"].get<long>() : -1);
        j["what"] = "kill";
        j["member"] = r.cluster.id(victim);
        r.say(j);
    }
    std::sort(worst.begin(), worst.end());
    r.say({{"what", "kills"},
           {"count", times},
           {"median_ms", worst[worst.size() / 2]},
           {"worst_ms", worst.back()},
           {"not_agreed", std::count(worst.begin(), worst.end(), -1)}});
}

void leaves(Rig& r, int times) {
    std::vector<long> worst;
    for (int k = 0; k < times; ++k) {
        const std::size_t goer = r.seeds + 40 + static_cast<std::size_t>(k);
        if (goer >= r.cluster.size())
            break;
        const Timestamp at = r.now();
        r.cluster.send_signal(goer, SIGTERM);
        worst.push_back(r.spread(at, 30).value("worst_ms", -1L));
    }
    std::sort(worst.begin(), worst.end());
    r.say({{"what", "leaves"},
           {"count", worst.size()},
           {"median_ms", worst[worst.size() / 2]},
           {"worst_ms", worst.back()}});
}

void loss(Rig& r, double seconds, double share) {
    const auto names = {"dead",        "suspicions",  "suspected", "refuted",
                        "refutations", "standstills", "probes",    "indirect_probes"};
    r.cluster.relay().set_faults({share, 0.0, Duration(0), Duration(0)});
    const Timestamp end = r.now() + Duration(static_cast<std::int64_t>(seconds * 1e6));
    while (r.now() < end) {
        r.wait(std::min(30.0, static_cast<double>((end - r.now()).count()) / 1e6));
        auto j = r.sums(names);
        j["what"] = "loss, so far";
        j["seconds"] = seconds - static_cast<double>((end - r.now()).count()) / 1e6;
        r.say(j);
    }
    auto j = r.sums(names);
    j["what"] = "loss";
    j["share"] = share;
    j["lost"] = r.cluster.relay().counters().lost;
    j["passed"] = r.cluster.relay().counters().forwarded;
    j["crashes"] = r.cluster.crashes();
    r.say(j);
}

void partition(Rig& r, double seconds) {
    const auto all = r.cluster.running_processes();
    std::set<std::string> names;
    std::vector<std::size_t> halves[2];
    for (std::size_t i = 0; i < all.size(); ++i) {
        halves[i % 2].push_back(all[i]);
        if (i % 2 == 0)
            names.insert(r.cluster.id(all[i]));
    }
    const Timestamp cut = r.now();
    r.cluster.relay().partition(names);
    for (int h = 0; h < 2; ++h) {
        auto j = r.spread(halves[h], halves[h], cut, seconds);
        j["what"] = "partition, each half of itself";
        r.say(j);
    }
    r.wait(std::max(0.0, seconds - static_cast<double>((r.now() - cut).count()) / 1e6));
    const Timestamp healed = r.now();
    r.cluster.relay().heal();
    auto j = r.spread(healed, 60);
    j["what"] = "heal";
    j["cut_seconds"] = seconds;
    r.say(j);
}

void pause(Rig& r, double seconds) {
    const std::size_t who = r.cluster.running_processes().back();
    const std::uint64_t before = r.cluster.metrics(who)["fleet.suspicions"];
    r.cluster.send_signal(who, SIGSTOP);
    r.wait(seconds);
    const Timestamp on = r.now();
    r.cluster.send_signal(who, SIGCONT);
    auto j = r.spread(on, 30);
    j["what"] = "pause";
    j["seconds"] = seconds;
    j["suspicions_by_it"] = r.cluster.metrics(who)["fleet.suspicions"] - before;
    r.say(j);
}

void replace(Rig& r, double seconds) {
    const std::size_t n = r.cluster.size(), gone = n * 6 / 10;
    const Timestamp from = r.now();
    for (std::size_t k = 0; k < gone; ++k) {
        r.cluster.send_signal(n - 1 - k, k % 2 == 0 ? SIGTERM : SIGKILL);
        r.add();
        const Timestamp due =
            from + Duration(static_cast<std::int64_t>(seconds * 1e6 * static_cast<double>(k + 1) /
                                                      static_cast<double>(gone)));
        if (r.now() < due)
            r.cluster.run(due);
    }
    const Timestamp done = r.now();
    auto j = r.spread(done, 60);
    j["what"] = "replace";
    j["replaced"] = gone;
    j["within_ms"] = (done - from).count() / 1000;
    r.say(j);
}

void bytes(Rig& r, double seconds) {
    r.wait(10);  // newcomers exchange more
    const auto before = r.sums({"bytes_sent", "bytes_received", "datagrams_sent"});
    const Timestamp from = r.now();
    r.wait(seconds);
    const auto after = r.sums({"bytes_sent", "bytes_received", "datagrams_sent"});
    const double s = static_cast<double>((r.now() - from).count()) / 1e6 *
                     static_cast<double>(r.cluster.running_processes().size());
    const auto rate = [&](const char* name) {
        return std::lround(
            static_cast<double>(after[name].get<std::uint64_t>() - before[name].get<std::uint64_t>()) / s);
    };
    r.say({{"what", "bytes"},
           {"processes", r.cluster.running_processes().size()},
           {"seconds", seconds},
           {"sent_per_process_s", rate("bytes_sent")},
           {"received_per_process_s", rate("bytes_received")},
           {"datagrams_per_process_s", rate("datagrams_sent")}});
}

}  // namespace

int main(int argc, char** argv) {
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
    try {
        const auto given = options.parse(argc, argv);
        fault_injection::ClusterSpec plan;
        plan.program = std::filesystem::absolute(given["program"].as<std::string>());
        plan.probe_ms = given["probe"].as<int>();
        plan.seed = given["seed"].as<std::uint64_t>();
        char name[] = "/tmp/fleet-rig-XXXXXX";
        const bool keep = given.count("keep") != 0;
        plan.directory = keep ? given["keep"].as<std::string>() : mkdtemp(name);
        std::filesystem::create_directories(plan.directory);
        {
            Rig r(plan);
            const double seconds = given["seconds"].as<double>();
            r.gather(given["processes"].as<std::size_t>());
            for (const std::string& what : given["what"].as<std::vector<std::string>>()) {
                if (what == "kill")
                    kills(r, given["times"].as<int>());
                else if (what == "leave")
                    leaves(r, given["times"].as<int>());
                else if (what == "loss")
                    loss(r, seconds, given["loss"].as<double>());
                else if (what == "partition")
                    partition(r, seconds);
                else if (what == "pause")
                    pause(r, 3.0);
                else if (what == "replace")
                    replace(r, 7.0);
                else if (what == "bytes")
                    bytes(r, seconds);
                else if (what != "join")
                    throw std::invalid_argument(what + ": no such scenario");
            }
            if (r.cluster.crashes() > 0)
                r.say({{"what", "crashes"}, {"count", r.cluster.crashes()}});
        }
        if (!keep)
            std::filesystem::remove_all(plan.directory);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "membership_rig: %s\n", e.what());
        return 2;
    }
    return 0;
}
