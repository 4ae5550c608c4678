// Measures the cost of choosing a host with the probing policies, and of assigning subsets, by the number of servers.
//
//   load_balancing_bench            takes the flags of Google Benchmark, such as --benchmark_filter=pool_pick
//
// Prints ns per choice and ms per assignment; for choose_of_five also the memory per server (`bytes/server`).
#include <benchmark/benchmark.h>

#include "load_balancing/load_probes.hpp"
#include "load_balancing/subset.hpp"

namespace {

using namespace cressledge;
using upstream_health::HostId;

constexpr unsigned probes_per_call = 5;
constexpr std::size_t subset_size = 20;

// Both steps of a choice by `probe_first`: sampling the hosts to probe, and choosing one by their answers.
void choose_of_five(benchmark::State& state) {
    std::vector<double> capacities;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        capacities.push_back(static_cast<double>(1 << i % 3));
    load_balancing::WeightedSampler sampler;
    sampler.build(capacities);
    upstream_health::Random random(1);
    std::vector<std::uint32_t> probed_hosts;
    std::vector<load_balancing::ProbeAnswer> answers;
    for ([[maybe_unused]] auto _ : state) {
        sampler.sample(random, probes_per_call, probed_hosts);
        answers.clear();
        for (const std::uint32_t host_id : probed_hosts)
            answers.push_back({host_id, {static_cast<double>(host_id % 7), 4.0, 0.1}});
        benchmark::DoNotOptimize(load_balancing::least_loaded(answers));
    }
    state.counters["bytes/server"] = sizeof(double) + sizeof(std::uint32_t);
}

// A choice by `probe_pool`, including adding the answers to its probes.
void pool_pick(benchmark::State& state) {
    const auto host_count = static_cast<std::uint32_t>(state.range(0));
    load_balancing::ProbePool pool({}, host_count);
    upstream_health::Random random(1);
    base::Timestamp now{0};
    const std::function<bool(HostId)> is_eligible = [](HostId) { return true; };
    for ([[maybe_unused]] auto _ : state) {
        now += base::Duration(100);
        for (unsigned due_probes = pool.take_due_probes(); due_probes > 0; --due_probes)
            pool.add(now, random(host_count), {static_cast<double>(random(10)), 8.0, 0.05});
        benchmark::DoNotOptimize(pool.pick(now, is_eligible));
    }
}

// Assigns subsets to all processes, with as many servers as processes.
void subsets_of_all(benchmark::State& state) {
    std::vector<std::string> processes;
    std::vector<std::string> servers;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        processes.push_back("p" + std::to_string(i));
        servers.push_back("s" + std::to_string(i));
    }
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(load_balancing::assign_subsets(processes, servers, subset_size));
}

BENCHMARK(choose_of_five)->RangeMultiplier(10)->Range(10, 10'000);
BENCHMARK(pool_pick)->RangeMultiplier(10)->Range(10, 10'000);
BENCHMARK(subsets_of_all)->Arg(50)->Arg(300)->Arg(1'000)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
