// What a decision of the gate costs, by how many sources it has seen: build with -DCRESSLEDGE_BENCH=ON and run
// build/gate_bench. The table is full, so that each accept also chooses who makes room.
#include <benchmark/benchmark.h>

#include <random>

#include "admission/gate.hpp"

namespace {

using namespace cressledge::admission;

Gate made(std::uint32_t connections, const Caps& caps) {
    Settings s;
    s.connections = connections;
    s.sources = 16'384;
    s.source = caps;
    s.lobby = 16;
    std::string wrong;
    for (std::uint32_t g = 0; g < 4; ++g) {
        s.groups.push_back({"g" + std::to_string(g), {}, 8, 8});
        s.networks.add({Ip::v4(0x7f010000U + (g << 16U)), 112}, g + 1, wrong);
    }
    return {s, 7};
}

// One connection comes, brings a request, is answered and rests, from one of `sources` addresses in a random order.
void accept_one(benchmark::State& state) {
    Gate gate = made(768, {768, 768, 1e9, 1e9});  // every rule is applied, and none refuses
    std::mt19937 random(1);
    const auto sources = static_cast<std::uint32_t>(state.range(0));
    Time now{1'764'576'000'000'000};
    const auto one = [&](std::uint32_t n) {
        now += Span(20);
        const auto e = gate.open(now, Ip::v4(0x0a000000U + n), 0, 1);
        if (e.refused) state.SkipWithError("refused");
        gate.request(now, e.seat);
        gate.answered(now, e.seat, true);
    };
    for (std::uint32_t i = 0; i < sources; ++i) one(i);
    const std::size_t bytes = gate.bytes();
    for (auto _ : state) one(static_cast<std::uint32_t>(random() % sources));
    if (gate.bytes() != bytes) state.SkipWithError("the memory has grown");
    state.counters["bytes"] = static_cast<double>(gate.bytes());
    state.counters["known"] = static_cast<double>(gate.known_sources());
}
BENCHMARK(accept_one)->Arg(10)->Arg(10'000)->Arg(1'000'000);

// A refusal: the source is over its rate.
void refuse_one(benchmark::State& state) {
    Gate gate = made(768, {768, 768, 50.0, 100.0});
    const Time now{1'764'576'000'000'000};
    for (int i = 0; i < 1'000; ++i) gate.open(now, Ip::v4(0x0a000001U), 0, 1);
    for (auto _ : state) benchmark::DoNotOptimize(gate.open(now, Ip::v4(0x0a000001U), 0, 1));
}
BENCHMARK(refuse_one);

}  // namespace

BENCHMARK_MAIN();
