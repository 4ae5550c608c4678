// Compares balancing policies over simulated fleets of 10, 100 and 1,000 servers, on a usual day and in an outage, and
// measures what one choice of a host costs.
//
//   load_balancing_sim [SECONDS]    simulated time of a run; a quarter of it with 1,000 servers
//
// Prints a table of latencies (ms, of requests that succeeded), failed requests (percent) and attempts a request, by
// scenario, fleet size and policy: the same numbers on every machine. Then the cost of a choice, ns of this machine.
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "balancing_simulation.hpp"

namespace {

using namespace cressledge;
using bench::BalancingSimulation;
using bench::PolicyVariant;
using bench::Scenario;
using load_balancing::Balancer;
using load_balancing::BalancingPolicy;
using load_balancing::Duration;
using load_balancing::HostId;
using load_balancing::Timestamp;

constexpr double default_seconds = 30.0;
constexpr std::size_t large_fleet = 1000;

constexpr PolicyVariant variants[] = {
    {"fewest in hand (before)", BalancingPolicy::least_in_flight, false, false, false},
    {"round robin, all rules", BalancingPolicy::round_robin, true, true, true},
    {"fewest in hand, all rules", BalancingPolicy::least_in_flight, true, true, true},
    {"two choices, no extra tries", BalancingPolicy::power_of_two_choices, true, false, false},
    {"two choices, retries", BalancingPolicy::power_of_two_choices, true, true, false},
    {"two choices, all rules", BalancingPolicy::power_of_two_choices, true, true, true},
};

void print_row(const PolicyVariant& variant, std::size_t server_count, double seconds, Scenario scenario) {
    BalancingSimulation simulation(variant, server_count, seconds, scenario);
    simulation.run();
    const bench::SimulationResult result = simulation.result();
    std::printf("%-6s %5zu  %-26s %7.1f %8.1f %8.3f%%  %10.3f  %10.3f\n",
                scenario == Scenario::outage ? "fail" : "usual", server_count, variant.name, result.p50_ms,
                result.p99_ms, result.failed_percent, result.attempts_per_request,
                result.attempts_per_request_in_outage);
}

void print_simulations(double seconds) {
    std::printf(
        "day    servers policy                       p50 ms   p99 ms   failed   tries a request, and once "
        "all fail\n");
    for (const Scenario scenario : {Scenario::usual, Scenario::outage})
        for (const std::size_t server_count : {std::size_t{10}, std::size_t{100}, large_fleet})
            for (const PolicyVariant& variant : variants)
                print_row(variant, server_count, server_count == large_fleet ? seconds / 4.0 : seconds,
                          scenario);
}

// Every second call finishes at once, so that calls in flight pile up.
double nanoseconds_per_pick(std::size_t server_count, BalancingPolicy policy) {
    load_balancing::Random random(1, 1);
    upstream_health::HostSet hosts;
    std::vector<upstream_health::HostSpec> specs;
    for (std::size_t i = 0; i < server_count; ++i)
        specs.push_back(
            {"tiles-" + std::to_string(i), "127.0.0.1:" + std::to_string(i), "http", "", "", 1.0, false});
    hosts.update(Timestamp(0), specs, random);
    load_balancing::BalancerSettings settings;
    settings.policy = policy;
    Balancer balancer(hosts, settings);
    balancer.refresh();
    const bool scans_many = server_count >= 1000 && policy == BalancingPolicy::least_in_flight;
    const int picks = scans_many ? 2'000 : 200'000;
    constexpr Duration call_latency{50};
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < picks; ++i) {
        const Timestamp now(1'000 + i);
        const HostId host_id = balancer.pick(now, 0, {}, random);
        balancer.on_call_started(now, host_id);
        if (i % 2 == 1) {
            balancer.on_call_finished(now, host_id, upstream_health::CallResult::ok, call_latency);
            hosts.on_call_finished(now, host_id, upstream_health::CallResult::ok, call_latency);
        }
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / picks;
}

void print_pick_costs() {
    std::printf("\nservers  fewest in hand, ns  two choices, ns\n");
    for (const std::size_t server_count : {std::size_t{10}, std::size_t{1000}, std::size_t{10'000}}) {
        std::printf("%7zu", server_count);
        for (const BalancingPolicy policy :
             {BalancingPolicy::least_in_flight, BalancingPolicy::power_of_two_choices})
            std::printf("  %18.0f", nanoseconds_per_pick(server_count, policy));
        std::printf("\n");
    }
}

}  // namespace

int main(int argc, char** argv) {
    const double seconds = argc > 1 ? std::atof(argv[1]) : default_seconds;
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    print_simulations(seconds);
    print_pick_costs();
    return 0;
}
