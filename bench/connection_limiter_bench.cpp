// What a decision of the gate costs, by how many sources it has seen: build with -DCRESSLEDGE_BENCH=ON and run
// build/connection_limiter_bench. The table is full, so that each accept also chooses who makes room.
#include <benchmark/benchmark.h>

#include <random>

#include "connection_admission/connection_limiter.hpp"

namespace {

using namespace cressledge::connection_admission;

ConnectionLimiter made(std::uint32_t connections, const SourceLimits& caps) {
    Settings s;
    s.max_connections = connections;
    s.tracked_sources = 16'384;
    s.unlisted_source_limits = caps;
    s.rejection_slots = 16;
    NetworkError wrong;
    for (std::uint32_t g = 0; g < 4; ++g) {
        s.groups.push_back({"g" + std::to_string(g), {}, 8, 8});
        s.networks.add({IpAddress::from_v4(0x7f010000U + (g << 16U)), 112}, g + 1, wrong);
    }
    return {s, 7};
}

// One connection comes, brings a request, is answered and rests, from one of `sources` addresses in a random order.
void accept_one(benchmark::State& state) {
    ConnectionLimiter gate = made(768, {768, 768, 1e9, 1e9});  // every rule is applied, and none refuses
    std::mt19937 random(1);
    const auto sources = static_cast<std::uint32_t>(state.range(0));
    Timestamp now{1'764'576'000'000'000};
    const auto one = [&](std::uint32_t n) {
        now += Duration(20);
        const auto e = gate.admit_connection(now, IpAddress::from_v4(0x0a000000U + n), 0, 1);
        if (e.rejected)
            state.SkipWithError("refused");
        gate.admit_request(now, e.slot_id);
        gate.on_response_sent(now, e.slot_id, true);
    };
    for (std::uint32_t i = 0; i < sources; ++i)
        one(i);
    const std::size_t bytes = gate.memory_bytes();
    for (auto _ : state)
        one(static_cast<std::uint32_t>(random() % sources));
    if (gate.memory_bytes() != bytes)
        state.SkipWithError("the memory has grown");
    state.counters["bytes"] = static_cast<double>(gate.memory_bytes());
    state.counters["known"] = static_cast<double>(gate.tracked_source_count());
}
BENCHMARK(accept_one)->Arg(10)->Arg(10'000)->Arg(1'000'000);

// A refusal: the source is over its rate.
void refuse_one(benchmark::State& state) {
    ConnectionLimiter gate = made(768, {768, 768, 50.0, 100.0});
    const Timestamp now{1'764'576'000'000'000};
    for (int i = 0; i < 1'000; ++i)
        gate.admit_connection(now, IpAddress::from_v4(0x0a000001U), 0, 1);
    for (auto _ : state)
        benchmark::DoNotOptimize(gate.admit_connection(now, IpAddress::from_v4(0x0a000001U), 0, 1));
}
BENCHMARK(refuse_one);

}  // namespace

BENCHMARK_MAIN();
