// Fleets of the gossip protocol in one process: how long a crash, a join and a leave take to be known, whether anybody
// alive is taken for dead, and what it costs beside a heartbeat of all to all. Bounded in count and time.
//
//   gossip_sim sizes [--most 10000]           a table by size, growing as the logarithm
//   gossip_sim runs [--runs 1000] [--loss 1]  seeded runs: false deaths counted
//   gossip_sim bytes                          bytes a process a second, beside the heartbeat
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

base::Duration ms(std::int64_t n) {
    return base::Duration(n * 1000);
}

membership::MembershipSettings rules(std::int64_t probe) {
    membership::MembershipSettings r;
    r.probe_interval = ms(probe);
    return r;
}

struct Spread {
    double first = -1, all = -1;  // ms; -1: not within the bound
};

// When the first and when all other running views say `state` (or hold no such live member) of `no`.
Spread until_known(Fleet& f, std::size_t no, MemberState state, int bound_ms) {
    const base::Timestamp from = f.now();
    Spread s;
    f.run(from + ms(bound_ms), ms(10), [&] {
        std::size_t knowing = 0, running = 0;
        for (std::size_t i = 0; i < f.size(); ++i) {
            if (i == no || !f.running(i))
                continue;
            ++running;
            knowing += f.view(i).state_of(f.id(no)) == state;
        }
        const double at = static_cast<double>((f.now() - from).count()) / 1000.0;
        if (knowing > 0 && s.first < 0)
            s.first = at;
        if (knowing == running)
            s.all = at;
        return knowing == running;
    });
    return s;
}

double median(std::vector<double> v) {
    std::sort(v.begin(), v.end());
    return v.empty() ? 0.0 : v[v.size() / 2];
}

int sizes(std::size_t most, std::int64_t probe) {
    std::printf("probe period %lld ms, no loss; times in ms, median (worst) over the repeats\n",
                static_cast<long long>(probe));
    std::printf("%8s %8s %18s %18s %18s %18s %12s\n", "members", "repeats", "crash first", "crash all",
                "join all", "leave all", "false deaths");
    for (const std::size_t n : {std::size_t{100}, std::size_t{1'000}, std::size_t{10'000}}) {
        if (n > most)
            break;
        const int repeats = n >= 10'000 ? 3 : n >= 1'000 ? 10 : 20;
        std::vector<double> first, all, join, leave;
        Fleet f(n + 64, rules(probe), {}, 17);
        f.start_converged(n);
        f.run(f.now() + ms(2'000));
        for (int k = 0; k < repeats; ++k) {
            const auto victim = static_cast<std::size_t>(k) * 4 + 3;
            f.crash(victim);
            const Spread c = until_known(f, victim, MemberState::dead, 30'000);
            first.push_back(c.first), all.push_back(c.all);
            join.push_back(until_known(f, f.start({0}), MemberState::alive, 30'000).all);
            const std::size_t goer = victim + 1;
            f.leave(goer);
            leave.push_back(until_known(f, goer, MemberState::left, 30'000).all);
        }
        const std::uint64_t wrong = f.false_deaths();
        const auto cell = [](const std::vector<double>& v) {
            return std::to_string(std::lround(median(v))) + " (" +
                   std::to_string(std::lround(*std::max_element(v.begin(), v.end()))) + ")";
        };
        std::printf("%8zu %8d %18s %18s %18s %18s %12llu\n", n, repeats, cell(first).c_str(),
                    cell(all).c_str(), cell(join).c_str(), cell(leave).c_str(),
                    static_cast<unsigned long long>(wrong));
        std::fflush(stdout);
    }
    return 0;
}

int runs(int count, double loss, std::size_t n, std::int64_t probe) {
    std::uint64_t wrong = 0, bad = 0, suspicions = 0, refutations = 0;
    for (int seed = 1; seed <= count; ++seed) {
        Fleet f(n + 4, rules(probe), {loss / 100.0, base::Duration(200), base::Duration(2'000)},
                static_cast<std::uint64_t>(seed));
        f.start_converged(n);
        f.run(f.now() + ms(10'000));
        f.crash(3);
        f.start({0});
        bad += !f.run(f.now() + ms(10'000), ms(50), [&] { return f.has_converged(); });
        wrong += f.false_deaths();
        for (std::size_t i = 0; i < f.size(); ++i)
            if (f.running(i))
                suspicions += f.view(i).counters().suspicions_raised,
                    refutations += f.view(i).counters().own_refutations;
        if (seed % 100 == 0)
            std::fprintf(stderr, "%d runs, %llu false deaths\n", seed,
                         static_cast<unsigned long long>(wrong));
    }
    std::printf(
        "%d seeded runs of %zu members at %.1f%% loss: %llu live members declared dead (in any view), %llu "
        "runs without "
        "agreement 10 s after a crash and a join, %llu suspicions raised, %llu refuted by their subjects\n",
        count, n, loss, static_cast<unsigned long long>(wrong), static_cast<unsigned long long>(bad),
        static_cast<unsigned long long>(suspicions), static_cast<unsigned long long>(refutations));
    return wrong == 0 && bad == 0 ? 0 : 1;
}

// The plain way: each tells each other, every period, that it is there. One datagram holds its own entry only.
double heartbeat(std::size_t n, std::int64_t probe) {
    membership::Message m;
    m.sender = {"n100", {1, 1}, 1, 0, MemberState::alive, {}};
    return static_cast<double>((n - 1) * membership::max_encoded_size(m, 5)) * 1000.0 /
           static_cast<double>(probe);
}

int bytes(std::int64_t probe) {
    std::printf("bytes sent a process a second, quiet fleet, 120 s, probe period %lld ms\n",
                static_cast<long long>(probe));
    std::printf("%8s %12s %22s\n", "members", "gossip", "all-to-all heartbeat");
    for (const std::size_t n : {std::size_t{50}, std::size_t{200}, std::size_t{800}}) {
        Fleet f(n, rules(probe), {}, 23);
        f.start_converged(n);
        f.run(f.now() + ms(5'000));
        const auto before = f.bytes();
        f.run(f.now() + ms(120'000));
        std::printf("%8zu %12.0f %22.0f\n", n,
                    static_cast<double>(f.bytes() - before) / 120.0 / static_cast<double>(n),
                    heartbeat(n, probe));
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
    const auto given = options.parse(argc, argv);
    const auto what = given["what"].as<std::string>();
    const auto probe = given["probe"].as<std::int64_t>();
    if (what == "sizes")
        return sizes(given["most"].as<std::size_t>(), probe);
    if (what == "runs")
        return runs(given["runs"].as<int>(), given["loss"].as<double>(), given["members"].as<std::size_t>(),
                    probe);
    if (what == "bytes")
        return bytes(probe);
    std::fprintf(stderr, "gossip_sim: sizes, runs or bytes\n");
    return 2;
}
