// What one choice costs, by the number of servers, and what a server known takes.
#include <benchmark/benchmark.h>

#include "load_balancing/load_probes.hpp"
#include "load_balancing/subset.hpp"

namespace {

using namespace cressledge;
using upstream_health::HostId;

// Both halves of a choice whose probes go out first: whom to ask, and whom to take.
void choose_of_five(benchmark::State& state) {
    load_balancing::WeightedSampler by;
    std::vector<double> capacities;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        capacities.push_back(static_cast<double>(1 << i % 3));
    by.build(capacities);
    upstream_health::Random random(1);
    std::vector<std::uint32_t> asked;
    std::vector<load_balancing::ProbeAnswer> answers;
    for (auto _ : state) {
        by.sample(random, 5, asked);
        answers.clear();
        for (const std::uint32_t no : asked)
            answers.push_back({no, {static_cast<double>(no % 7), 4.0, 0.1}});
        benchmark::DoNotOptimize(load_balancing::least_loaded(answers));
    }
    state.counters["bytes/server"] = sizeof(double) + sizeof(std::uint32_t);
}
void pool_pick(benchmark::State& state) {
    const auto n = static_cast<std::uint32_t>(state.range(0));
    load_balancing::ProbePool pool({}, n);
    upstream_health::Random random(1);
    base::Timestamp now{0};
    const std::function<bool(HostId)> may = [](HostId) { return true; };
    for (auto _ : state) {
        now += base::Duration(100);
        for (unsigned k = pool.take_due_probes(); k > 0; --k)
            pool.add(now, random(n), {static_cast<double>(random(10)), 8.0, 0.05});
        benchmark::DoNotOptimize(pool.pick(now, may));
    }
}
void subsets_of_all(benchmark::State& state) {
    std::vector<std::string> processes, servers;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        processes.push_back("p" + std::to_string(i));
        servers.push_back("s" + std::to_string(i));
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(load_balancing::assign_subsets(processes, servers, 20));
}

BENCHMARK(choose_of_five)->RangeMultiplier(10)->Range(10, 10'000);
BENCHMARK(pool_pick)->RangeMultiplier(10)->Range(10, 10'000);
BENCHMARK(subsets_of_all)->Arg(50)->Arg(300)->Arg(1'000)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
