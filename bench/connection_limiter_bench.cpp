// Measures the cost of a connection limiter decision by the number of sources it has seen. The table is full, so that
// each accepted connection also chooses one to evict.
//
//   connection_limiter_bench        takes the flags of Google Benchmark, such as --benchmark_filter=accept_one
//
// Prints ns per decision; for accept_one also the memory of the limiter (`bytes`) and the sources it tracks (`known`).
#include <benchmark/benchmark.h>

#include <random>

#include "connection_admission/connection_limiter.hpp"

namespace {

using namespace cressledge::connection_admission;

constexpr std::uint32_t max_connections = 768;
constexpr std::uint32_t group_count = 4;
constexpr Timestamp start_time{1'764'576'000'000'000};

ConnectionLimiter make_limiter(const SourceLimits& source_limits) {
    Settings settings;
    settings.max_connections = max_connections;
    settings.tracked_sources = 16'384;
    settings.unlisted_source_limits = source_limits;
    settings.rejection_slots = 16;
    NetworkError error;
    for (std::uint32_t group = 0; group < group_count; ++group) {
        settings.groups.push_back({"g" + std::to_string(group), {}, 8, 8});
        settings.networks.add({IpAddress::from_v4(0x7f010000U + (group << 16U)), 112}, group + 1, error);
    }
    return {settings, 7};
}

// A connection arrives from one of `sources` addresses at random, sends a request, gets the response and becomes idle.
void accept_one(benchmark::State& state) {
    // Every rule is applied, and none rejects.
    ConnectionLimiter limiter = make_limiter({max_connections, max_connections, 1e9, 1e9});
    std::mt19937 random(1);
    const auto sources = static_cast<std::uint32_t>(state.range(0));
    Timestamp now = start_time;
    const auto serve_connection_from = [&](std::uint32_t source) {
        now += Duration(20);
        const auto decision = limiter.admit_connection(now, IpAddress::from_v4(0x0a000000U + source), 0, 1);
        if (decision.rejected)
            state.SkipWithError("refused");
        limiter.admit_request(now, decision.slot_id);
        limiter.on_response_sent(now, decision.slot_id, true);
    };
    for (std::uint32_t source = 0; source < sources; ++source)
        serve_connection_from(source);
    const std::size_t bytes_before = limiter.memory_bytes();
    for ([[maybe_unused]] auto _ : state)
        serve_connection_from(static_cast<std::uint32_t>(random() % sources));
    if (limiter.memory_bytes() != bytes_before)
        state.SkipWithError("the memory has grown");
    state.counters["bytes"] = static_cast<double>(limiter.memory_bytes());
    state.counters["known"] = static_cast<double>(limiter.tracked_source_count());
}
BENCHMARK(accept_one)->Arg(10)->Arg(10'000)->Arg(1'000'000);

// Rejects a connection of a source that exceeds its rate.
void refuse_one(benchmark::State& state) {
    ConnectionLimiter limiter = make_limiter({max_connections, max_connections, 50.0, 100.0});
    const IpAddress source = IpAddress::from_v4(0x0a000001U);
    for (int i = 0; i < 1'000; ++i)
        limiter.admit_connection(start_time, source, 0, 1);
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(limiter.admit_connection(start_time, source, 0, 1));
}
BENCHMARK(refuse_one);

}  // namespace

BENCHMARK_MAIN();
