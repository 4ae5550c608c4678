// Fleet-wide slow start limits the calls that all processes together send to a new host. Tests the limiters of many
// processes on a manual clock, then 30 real processes with joins, crashes and a network partition.
#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fake_upstream/fleet.hpp"
#include "fault_injection/process_cluster.hpp"
#include "load_balancing/balancer.hpp"
#include "load_generator/driver.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using load_balancing::SlowStartLimiter;
using load_balancing::SlowStartSettings;

constexpr Duration clock_step(5'000);

/// Largest excess of calls in any window over the allowed number N plus the tolerance for chance, 2 sqrt(N) + 2. It
/// is at most 0 if every window is within the limit.
double largest_excess(const SlowStartLimiter& limiter, Timestamp announced_at,
                      const std::vector<Timestamp>& calls, Duration window) {
    double max_excess = -1e9;
    std::size_t first = 0;
    for (std::size_t last = 0; last < calls.size(); ++last) {
        while (calls[last] - calls[first] > window)
            ++first;
        const double allowed = limiter.allowed_calls(announced_at, calls[last] - window, calls[last]);
        max_excess = std::max(
            max_excess, static_cast<double>(last - first + 1) - (allowed + 2.0 * std::sqrt(allowed) + 2.0));
    }
    return max_excess;
}

/// A simulated process and its limiter.
struct Process {
    SlowStartLimiter limiter;
    upstream_health::Random random;
    bool is_alive = true;
    Process(const SlowStartSettings& settings, std::uint64_t seed, std::uint64_t stream)
        : limiter(settings), random(seed, stream) {}
};

/// Simulates processes that call one host in slow start as often as they are allowed, on a manual clock.
struct SlowStartSimulation {
    SlowStartSettings settings;
    upstream_health::HostSpec spec;
    Timestamp now{1'764'576'000'000'000};
    Timestamp announced_at = now;
    std::vector<Process> processes;
    std::vector<Timestamp> calls;
    upstream_health::Random random;
    explicit SlowStartSimulation(std::size_t process_count, std::uint64_t seed) : random(seed, 77) {
        settings.calls_per_s = 40.0;
        spec.name = "cold-" + std::to_string(seed);
        for (std::size_t i = 0; i < process_count; ++i)
            processes.emplace_back(settings, seed, i);
    }
    static std::string name(std::size_t i) { return "p" + std::to_string(100 + i); }
    /// Sets the live processes that one process knows.
    void update_peers(std::size_t process, const std::vector<std::size_t>& peers) {
        std::vector<std::string> names;
        for (const std::size_t i : peers)
            names.push_back(name(i));
        processes[process].limiter.update_peers(now, names, name(process));
    }
    std::vector<std::size_t> live_processes() const {
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < processes.size(); ++i)
            if (processes[i].is_alive)
                indices.push_back(i);
        return indices;
    }
    void update_all_peers() {
        const auto live = live_processes();
        for (const std::size_t i : live)
            update_peers(i, live);
    }
    void begin() {
        for (Process& process : processes)
            process.limiter.begin(0, spec, announced_at, process.random);
    }
    void run(Duration length) {
        std::vector<std::size_t> order = live_processes();
        for (const Timestamp end = now + length; now < end; now += clock_step) {
            for (std::size_t i = order.size(); i > 1; --i)
                std::swap(order[i - 1], order[random(static_cast<std::uint32_t>(i))]);
            for (const std::size_t i : order) {
                Process& process = processes[i];
                if (!process.is_alive || !process.limiter.allows(now, 0))
                    continue;
                process.limiter.on_call_started(now, 0);
                calls.push_back(now);
            }
        }
    }
    double allowed_calls() const {
        return processes[0].limiter.allowed_calls(announced_at, announced_at, now);
    }
    double excess() const {
        return largest_excess(processes[0].limiter, announced_at, calls, settings.window);
    }
};

constexpr std::size_t process_counts[] = {1, 10, 20, 30};

}  // namespace

TEST_CASE(
    "SlowStartLimiter: the sum of the calls of 1, 10, 20 and 30 processes stays within the limit, over 20 "
    "seeds") {
    for (const std::size_t count : process_counts) {
        double max_excess = -1e9;
        double min_utilization = 1e9;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            SlowStartSimulation simulation(count, seed);
            simulation.update_all_peers();
            simulation.begin();
            simulation.run(simulation.settings.warm_up_time);
            max_excess = std::max(max_excess, simulation.excess());
            min_utilization = std::min(
                min_utilization, static_cast<double>(simulation.calls.size()) / simulation.allowed_calls());
        }
        // A single process assumes the configured 32, because it cannot know that no other process sends calls.
        std::printf(
            "slow start: %2zu processes, 20 seeds: largest excess of a window over "
            "N + 2 sqrt(N) + 2: %.1f calls; at least %.0f%% of the allowed calls used\n",
            count, max_excess, 100.0 * min_utilization);
        CHECK(max_excess <= 0.0);
        if (count > 1)
            CHECK(min_utilization > 0.9);
    }
}

TEST_CASE(
    "SlowStartLimiter: processes without known peers draw their rounding offsets, and the limit holds") {
    for (const std::size_t count : process_counts)
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            SlowStartSimulation simulation(count, seed);
            simulation.begin();
            simulation.run(simulation.settings.warm_up_time);
            CHECK(simulation.excess() <= 0.0);
        }
}

TEST_CASE("Balancer: load reports do not attract calls beyond the slow start limit under any policy") {
    for (const load_balancing::BalancingPolicy policy :
         {load_balancing::BalancingPolicy::probe_first, load_balancing::BalancingPolicy::probe_pool,
          load_balancing::BalancingPolicy::power_of_two_choices}) {
        upstream_health::HostSet hosts;
        upstream_health::Random random(1);
        const Timestamp start(1'764'576'000'000'000);
        upstream_health::HostSpec warm;
        upstream_health::HostSpec cold;
        warm.name = "warm";
        cold.name = "cold";
        hosts.update(start, {warm}, random);
        hosts.update(start, {warm, cold}, random);
        load_balancing::BalancerSettings settings;
        settings.policy = policy;
        settings.slow_start.calls_per_s = 10.0;
        settings.slow_start.assumed_processes = 1.0;
        load_balancing::Balancer balancer(hosts, settings);
        balancer.refresh();
        const upstream_health::HostId cold_host = hosts.listed_hosts().back();
        REQUIRE(hosts.at(cold_host).state == upstream_health::HostState::warming_up);
        std::size_t calls = 0;
        std::vector<upstream_health::HostId> targets;
        for (Timestamp now = start; now < start + settings.slow_start.warm_up_time; now += clock_step) {
            balancer.pick_probe_targets(random, targets);
            load_balancing::LoadReport idle;
            idle.capacity = 100.0;
            // Without an effective load, the host must not be chosen by its load report.
            if (!balancer.effective_load(now, cold_host, idle))
                continue;
            balancer.on_call_started(now, cold_host);
            ++calls;
        }
        const double allowed = SlowStartLimiter(settings.slow_start)
                                   .allowed_calls(start, start, start + settings.slow_start.warm_up_time);
        CHECK(static_cast<double>(calls) <= allowed + 1.0);
        CHECK(static_cast<double>(calls) > 0.8 * allowed);
    }
}

TEST_CASE("SlowStartLimiter: the limit holds over joins, crashes and a partition") {
    for (const std::size_t count : {10U, 20U, 30U})
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            SlowStartSimulation simulation(count, seed);
            simulation.update_all_peers();
            simulation.begin();
            simulation.run(Duration(2'000'000));
            // Up to a third of the processes crash, and the others know it.
            for (std::size_t i = 0; i < count / 3; ++i)
                simulation.processes[simulation.random(static_cast<std::uint32_t>(count))].is_alive = false;
            simulation.processes[0].is_alive = true;
            simulation.processes[count - 1].is_alive = true;
            simulation.update_all_peers();
            simulation.run(Duration(2'000'000));
            // A partition splits the live processes into halves; both continue to send calls.
            const auto live = simulation.live_processes();
            const auto middle = live.begin() + static_cast<std::ptrdiff_t>(live.size() / 2);
            const std::vector<std::size_t> first_half(live.begin(), middle);
            const std::vector<std::size_t> second_half(middle, live.end());
            for (const std::size_t i : first_half)
                simulation.update_peers(i, first_half);
            for (const std::size_t i : second_half)
                simulation.update_peers(i, second_half);
            simulation.run(Duration(2'000'000));
            // Five processes join; the others learn of them 100 ms later.
            for (std::size_t i = 0; i < 5; ++i) {
                Process& process = simulation.processes.emplace_back(simulation.settings, seed, count + i);
                process.limiter.begin(0, simulation.spec, simulation.now, process.random);
            }
            simulation.run(Duration(100'000));
            simulation.update_all_peers();
            simulation.run(Duration(3'900'000));
            CHECK(simulation.excess() <= 0.0);
        }
}

TEST_CASE(
    "slow start: 30 real processes limit their calls to a new host over joins, crashes and a partition") {
    TestLoop loop;
    char name[] = "/tmp/cressledge-ramp-XXXXXX";
    const std::string directory = mkdtemp(name);
    const auto remove_directory = std::unique_ptr<const std::string, void (*)(const std::string*)>(
        &directory, [](const std::string* path) { std::filesystem::remove_all(*path); });
    fake_upstream::FleetSpec servers;
    servers.servers.resize(4);
    servers.addresses.assign(4, "127.0.0.1:0");
    fake_upstream::Fleet fleet(loop.loop, loop.timers, servers);
    const auto inventory = [&](std::size_t count) {
        std::string text = "name,address,protocol,group\n";
        for (std::size_t i = 0; i < count; ++i)
            text += "s" + std::to_string(i) + "," + fleet.address(i) + ",http,g\n";
        return text;
    };
    SlowStartSettings settings;
    settings.calls_per_s = 40.0;
    settings.warm_up_time = Duration(6'000'000);
    settings.assumed_processes = 35.0;
    fault_injection::ClusterSpec spec;
    spec.program = CRESSLEDGE_PROGRAM;
    spec.directory = directory;
    spec.has_known_http_ports = true;
    spec.inventory = inventory(3);
    spec.operator_settings =
        "cores: 64\nstop_ms: 2500\nconnections: 64\nadmission: {descriptors: 256}\n"
        "routing: {probes: false, watch_ms: 0, members: {slow_start_ms: 6000}, slow_start: {calls_per_s: 40, "
        "peers: 35}}\n"
        "classes:\n  - {name: sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n";
    fault_injection::ProcessCluster cluster(loop.loop, loop.timers, spec);
    for (std::size_t i = 0; i < 30; ++i)
        cluster.add(i == 0 ? std::vector<std::size_t>{} : std::vector<std::size_t>{0});
    REQUIRE(cluster.wait_for_agreement(Duration(40'000'000)));
    load_generator::Driver driver(loop.loop, loop.timers,
                                  load_generator::ArrivalProcess(400.0, 1, {{"sheet", 1.0, false}}, 5));
    const auto update_targets = [&] {
        std::vector<net::Address> addresses;
        for (const std::size_t process : cluster.running_processes())
            addresses.push_back(*net::Address::parse(membership::to_string(cluster.http_endpoint(process))));
        driver.set_targets(addresses);
    };
    update_targets();
    driver.start();
    const auto run_for = [&](Duration length) { cluster.run(wall_clock_now() + length); };
    // Each process updates the peers of its balancer every second.
    run_for(Duration(1'500'000));
    // The fourth host is added to the inventory of all processes at once.
    std::ofstream(directory + "/servers.csv") << inventory(4);
    const Timestamp announced_at = wall_clock_now();
    for (const std::size_t process : cluster.running_processes())
        cluster.send_signal(process, SIGHUP);
    std::vector<Timestamp> calls;
    const auto count_calls_for = [&](Duration length) {
        for (const Timestamp end = wall_clock_now() + length; wall_clock_now() < end;) {
            run_for(Duration(10'000));
            while (calls.size() < fleet.calls_by_server()[3])
                calls.push_back(wall_clock_now());
        }
    };
    count_calls_for(Duration(1'500'000));
    for (const std::size_t process : {7U, 8U, 9U})
        cluster.send_signal(process, SIGKILL);
    update_targets();
    count_calls_for(Duration(1'000'000));
    std::set<std::string> partitioned_ids;
    for (std::size_t i = 0; i < 15; ++i)
        partitioned_ids.insert(cluster.id(i));
    cluster.relay().partition(partitioned_ids);
    count_calls_for(Duration(1'500'000));
    cluster.relay().heal();
    // The restarted processes do not know any other process yet.
    for (const std::size_t process : {7U, 8U, 9U})
        cluster.start(process);
    count_calls_for(Duration(2'000'000));
    const Timestamp warm_at = announced_at + settings.warm_up_time;
    while (wall_clock_now() < warm_at)
        count_calls_for(Duration(10'000));
    driver.stop();
    // A warm host is not limited. How long the stages take, and so how many calls come later, depends on the machine.
    const auto first_call_after_warm_up = std::upper_bound(calls.begin(), calls.end(), warm_at);
    const auto calls_after_warm_up = std::distance(first_call_after_warm_up, calls.end());
    calls.erase(first_call_after_warm_up, calls.end());
    const SlowStartLimiter limiter(settings);
    const double allowed = limiter.allowed_calls(announced_at, announced_at, warm_at);
    const double excess = largest_excess(limiter, announced_at, calls, settings.window);
    std::printf(
        "slow start: 30 real processes: %zu calls of %.0f allowed; largest excess of a window over "
        "N + 2 sqrt(N) + 2: %.1f calls; %td calls after the warm-up\n",
        calls.size(), allowed, excess, calls_after_warm_up);
    CHECK(excess <= 0.0);
    // The host does get calls; how many depends on the speed of the machine.
    CHECK(static_cast<double>(calls.size()) > 0.15 * allowed);
    CHECK(cluster.crashes() == 0);
}
