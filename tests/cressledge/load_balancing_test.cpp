// Choice of hosts by load reports and probes, subsets from the membership table, and the evenness of the load.
#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <vector>

#include "emulator/load_spread.hpp"
#include "load_balancing/balancer.hpp"
#include "load_balancing/load_probes.hpp"
#include "load_balancing/load_reports.hpp"
#include "load_balancing/subset.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::load_balancing;
using upstream_health::CallResult;
using upstream_health::HostSet;
using upstream_health::HostSpec;

bool any_host(HostId) {
    return true;
}

/// Settings under which answers stay in the pool until they are used up or too old.
LoadProbeSettings settings_without_removals() {
    LoadProbeSettings settings;
    settings.removals_per_call = 0.0;
    settings.hot_quantile = 0.5;
    return settings;
}

std::vector<std::string> numbered_names(const char* prefix, std::size_t count) {
    std::vector<std::string> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(prefix + std::to_string(i));
    return result;
}

std::vector<HostSpec> host_specs(int count) {
    std::vector<HostSpec> specs;
    for (int i = 0; i < count; ++i)
        specs.push_back(
            {"s" + std::to_string(i), "127.0.0.1:" + std::to_string(i + 1), "http", "", "", 1.0, false});
    return specs;
}

}  // namespace

TEST_CASE("ProbePool: picks the cold host with the lowest latency, or the least loaded host if all are hot") {
    ProbePool pool(settings_without_removals(), 100);
    CHECK(pool.pick(Timestamp(0), any_host) == no_host);
    pool.add(Timestamp(0), 1, {2.0, 4.0, 0.9});
    CHECK(pool.pick(Timestamp(0), any_host) == no_host);  // a single answer is not used
    pool.add(Timestamp(0), 2, {3.0, 4.0, 0.1});
    pool.add(Timestamp(0), 3, {16.0, 4.0, 0.01});
    pool.add(Timestamp(0), 4, {12.0, 4.0, 0.02});
    // The only host below the median utilization; host 3 has a lower latency but is hot.
    CHECK(pool.pick(Timestamp(0), any_host) == 1);
    ProbePool hot(settings_without_removals(), 100);
    for (HostId host_id = 1; host_id < 4; ++host_id)
        hot.add(Timestamp(0), host_id, {8.0, host_id == 2 ? 4.0 : 2.0, host_id == 1 ? 0.1 : 0.5});
    CHECK(hot.pick(Timestamp(0), [](HostId host_id) { return host_id != 2; }) == 1);
    CHECK(hot.size() == 1);  // the ineligible host's answer is removed, and the picked answer is used up
}

TEST_CASE(
    "ProbePool: counts the calls that it places, discards old answers and limits the uses of an answer") {
    LoadProbeSettings settings = settings_without_removals();
    settings.hot_quantile = 0.0;  // all hosts are hot: compared by load alone
    ProbePool pool(settings, 1'000);
    pool.add(Timestamp(0), 1, {0.0, 2.0, 0.0});
    pool.add(Timestamp(0), 2, {1.0, 2.0, 0.0});
    CHECK(pool.pick(Timestamp(0), any_host) == 1);
    CHECK(pool.size() == 1);  // equation 1: one use per answer with three probes per call and no removals
    CHECK(pool.pick(Timestamp(0), any_host) == no_host);
    LoadProbeSettings four_uses = settings;
    four_uses.probes_per_call = 0.5;
    ProbePool reused_pool(four_uses, 1'000);
    reused_pool.add(Timestamp(0), 1, {0.0, 2.0, 0.0});
    reused_pool.add(Timestamp(0), 2, {1.0, 2.0, 0.0});
    std::vector<int> picks(3);
    for (int i = 0; i < 8; ++i)
        if (const auto host_id = reused_pool.pick(Timestamp(0), any_host); host_id != no_host)
            ++picks[host_id];
    CHECK(picks[1] >= 3);  // placed calls are counted, so both hosts are picked
    CHECK(picks[2] >= 2);
    pool.add(Timestamp(0), 1, {0.0, 2.0, 0.0});
    pool.add(Timestamp(0), 2, {1.0, 2.0, 0.0});
    CHECK(pool.pick(Timestamp(0) + settings.max_age + Duration(1), any_host) == no_host);
    CHECK(pool.size() == 0);
    for (HostId host_id = 0; host_id < 100; ++host_id)
        pool.add(Timestamp(0), host_id, {});
    CHECK(pool.size() == settings.pool_size);
    pool.remove(99);
    CHECK(pool.size() == settings.pool_size - 1);
    double probe_count = 0.0;
    LoadProbeSettings one_third = settings;
    one_third.probes_per_call = 1.0 / 3.0;
    ProbePool rarely_probed(one_third, 10);
    for (int i = 0; i < 3'000; ++i)
        probe_count += rarely_probed.take_due_probes();
    CHECK(std::abs(probe_count - 1'000.0) <= 1.0);
}

TEST_CASE(
    "least_loaded: picks the lowest utilization including this call; expected calls follow recent probes") {
    CHECK(least_loaded({}) == no_host);
    CHECK(least_loaded({{1, {3.0, 4.0, 0.1}}, {2, {10.0, 16.0, 0.9}}}) == 2);
    CHECK(least_loaded({{1, {3.0, 4.0, 0.2}}, {2, {3.0, 4.0, 0.1}}}) == 2);
    ExpectedCallEstimator estimator(Duration(1'000), 4);
    for (int i = 0; i < 8; ++i)
        estimator.on_probe(Timestamp(i * 100));
    CHECK(estimator.expected_calls(Timestamp(700)) == 2.0);
    CHECK(estimator.expected_calls(Timestamp(1'450)) == 0.75);
    CHECK(estimator.expected_calls(Timestamp(9'000)) == 0.0);
}

TEST_CASE("WeightedSampler: samples in proportion to weights, without duplicates in one sample") {
    WeightedSampler sampler;
    sampler.build({1.0, 2.0, 4.0, 1.0});
    Random random(4);
    std::vector<double> frequency(4);
    for (int i = 0; i < 80'000; ++i)
        frequency[sampler.sample(random)] += 1.0 / 10'000.0;
    CHECK(std::abs(frequency[0] - 1.0) < 0.05);
    CHECK(std::abs(frequency[1] - 2.0) < 0.06);
    CHECK(std::abs(frequency[2] - 4.0) < 0.08);
    for (int i = 0; i < 100; ++i) {
        std::vector<std::uint32_t> sampled;
        sampler.sample(random, 3, sampled);
        std::sort(sampled.begin(), sampled.end());
        CHECK(std::adjacent_find(sampled.begin(), sampled.end()) == sampled.end());
    }
    std::vector<std::uint32_t> all;
    sampler.sample(random, 9, all);
    CHECK(all.size() <= 4);
}

TEST_CASE(
    "assign_subsets: spreads processes evenly over hosts, and a change of either list moves few "
    "assignments") {
    struct Sizes {
        int processes;
        int hosts;
        int subset;
    };
    for (const Sizes& sizes : {Sizes{50, 300, 20}, Sizes{300, 300, 20}, Sizes{120, 70, 9}, Sizes{7, 3, 20}}) {
        const auto processes = numbered_names("p", static_cast<std::size_t>(sizes.processes));
        const auto hosts = numbered_names("s", static_cast<std::size_t>(sizes.hosts));
        const auto rows = assign_subsets(processes, hosts, static_cast<std::size_t>(sizes.subset));
        std::vector<int> processes_of_host(hosts.size());
        const int row_size = std::min(sizes.subset, sizes.hosts);
        for (auto row : rows) {
            REQUIRE(row.size() == static_cast<std::size_t>(row_size));
            for (const auto i : row)
                ++processes_of_host[i];
            std::sort(row.begin(), row.end());
            CHECK(std::adjacent_find(row.begin(), row.end()) == row.end());
        }
        const auto [min_processes, max_processes] =
            std::minmax_element(processes_of_host.begin(), processes_of_host.end());
        CHECK(*max_processes - *min_processes <= 2);
        CHECK(*max_processes <= (sizes.processes * row_size + sizes.hosts - 1) / sizes.hosts + 1);
    }
    struct Lists {
        std::vector<std::string> processes;
        std::vector<std::string> hosts;
    };
    const auto moved_fraction = [](const Lists& before, const Lists& after) {
        const auto rows_before = assign_subsets(before.processes, before.hosts, 20);
        const auto rows_after = assign_subsets(after.processes, after.hosts, 20);
        std::size_t moved = 0;
        std::size_t total = 0;
        for (std::size_t i = 0; i < std::min(rows_before.size(), rows_after.size()); ++i) {
            std::set<std::string> subset_before;
            std::set<std::string> subset_after;
            for (const auto host : rows_before[i])
                subset_before.insert(before.hosts[host]);
            for (const auto host : rows_after[i])
                subset_after.insert(after.hosts[host]);
            for (const auto& name : subset_after)
                moved += 1 - subset_before.count(name);
            total += subset_after.size();
        }
        return static_cast<double>(moved) / static_cast<double>(total);
    };
    const Lists lists{numbered_names("p", 300), numbered_names("s", 300)};
    CHECK(moved_fraction(lists, {numbered_names("p", 301), numbered_names("s", 300)}) < 0.1);
    CHECK(moved_fraction(lists, {numbered_names("p", 300), numbered_names("s", 301)}) < 0.1);
}

TEST_CASE("parse_load_report: a report with any invalid entry is rejected as a whole") {
    const auto report = parse_load_report(
        "TEXT named_metrics.in_flight=12, cpu_utilization=0.3,named_metrics.capacity=8, "
        "named_metrics.latency_ms=31.5");
    REQUIRE(report.has_value());
    CHECK((report->in_flight == 12.0 && report->capacity == 8.0));
    CHECK(report->latency_s == Approx(0.0315));
    CHECK(parse_load_report(format_load_report({3.0, 4.0, 0.25}))->latency_s == Approx(0.25));
    for (const char* malformed : {"", "TEXT ", "JSON {}", "TEXT named_metrics.in_flight=1",
                                  "TEXT named_metrics.in_flight=1, named_metrics.capacity=0",
                                  "TEXT named_metrics.in_flight=-1, named_metrics.capacity=4",
                                  "TEXT named_metrics.in_flight=nan, named_metrics.capacity=4",
                                  "TEXT named_metrics.in_flight=1, named_metrics.capacity=inf",
                                  "TEXT named_metrics.in_flight=1x, named_metrics.capacity=4",
                                  "TEXT a, named_metrics.in_flight=1, named_metrics.capacity=4"})
        CHECK_FALSE(parse_load_report(malformed).has_value());
    CHECK_FALSE(
        parse_load_report("TEXT named_metrics.in_flight=1, named_metrics.capacity=4" + std::string(300, ' '))
            .has_value());
}

TEST_CASE(
    "Balancer: probe-pool follows load reports, avoids a host that fails fast, and without reports uses "
    "power of two choices") {
    Random random(5);
    HostSet hosts;
    hosts.update(Timestamp(0), host_specs(20), random);
    BalancerSettings settings;
    settings.policy = BalancingPolicy::probe_pool;
    Balancer balancer(hosts, settings);
    balancer.refresh();
    CHECK(balancer.pick(Timestamp(1), 0, {}, random) != no_host);  // no reports: power of two choices
    balancer.on_load_report(Timestamp(1), 3, {1.0, 8.0, 0.05});
    balancer.on_load_report(Timestamp(1), 4, {7.0, 8.0, 0.05});
    balancer.on_load_report(Timestamp(1), 5, {5.0, 8.0, 0.05});
    CHECK(balancer.pick(Timestamp(2), 0, {}, random) == 3);
    balancer.on_load_report(Timestamp(2), 3, {0.0, 8.0, 0.05});
    balancer.on_call_started(Timestamp(2), 3);
    balancer.on_call_finished(Timestamp(3), 3, CallResult::error,
                              Duration(100));  // idle because it fails at once
    hosts.on_call_finished(Timestamp(3), 3, CallResult::error, Duration(100));
    CHECK(balancer.pick(Timestamp(3), 0, {}, random) != 3);
    std::vector<HostId> targets;
    std::size_t probes = 0;
    for (int i = 0; i < 10; ++i) {
        balancer.pick_probe_targets(random, targets);
        probes += targets.size();
    }
    CHECK(probes == 30);
}

TEST_CASE("Balancer: the subsets that the processes of a fleet compute for themselves use the hosts evenly") {
    const auto processes = numbered_names("p", 12);
    std::vector<int> processes_of_host(30);
    for (const std::string& process : processes) {
        Random random(5);
        HostSet hosts;
        hosts.update(Timestamp(0), host_specs(30), random);
        BalancerSettings settings;
        settings.subset_size = 5;
        settings.node_name = process;
        Balancer balancer(hosts, settings);
        balancer.refresh();
        CHECK(balancer.candidates().size() == 5);
        balancer.update_peers(Timestamp(0), processes);
        CHECK(balancer.candidates().size() == 5);
        for (const HostId host_id : balancer.candidates())
            ++processes_of_host[host_id];
    }
    const auto [min_processes, max_processes] =
        std::minmax_element(processes_of_host.begin(), processes_of_host.end());
    CHECK((*min_processes >= 1 && *max_processes <= 3));  // 2 processes per host, plus or minus one
}

TEST_CASE(
    "emulator: probe-first spreads load nearly as evenly as perfect knowledge, and reports a second old "
    "cause herding") {
    emulator::LoadSpreadScenario scenario;
    scenario.processes = 60;
    scenario.servers = 60;
    scenario.server_profile.slots = 16;
    scenario.seconds = 1.0;
    scenario.warm_up_s = 1.0;
    scenario.load = 0.9;
    const auto run_with = [&scenario](emulator::BalancingChoice choice) {
        scenario.choice = choice;
        return emulator::emulate_load_spread(scenario);
    };
    const auto ideal = run_with(emulator::BalancingChoice::join_shortest_queue);
    const auto probed = run_with(emulator::BalancingChoice::probe_first);
    const auto stale = run_with(emulator::BalancingChoice::stale_reports);
    const auto two_choices = run_with(emulator::BalancingChoice::two_choices);
    const auto pool = run_with(emulator::BalancingChoice::probe_pool);
    CHECK(probed.imbalance.peak_to_mean_p99 < 1.3);
    CHECK(probed.p99_ms < 1.5 * ideal.p99_ms);
    CHECK(probed.imbalance.idle_fraction < 0.01);
    CHECK(stale.imbalance.peak_to_mean_p99 > 10.0);
    CHECK(two_choices.imbalance.peak_to_mean_p99 > probed.imbalance.peak_to_mean_p99);
    CHECK(pool.imbalance.peak_to_mean_p99 < two_choices.imbalance.peak_to_mean_p99);
    const auto again = run_with(emulator::BalancingChoice::probe_pool);
    CHECK((again.imbalance.peak_to_mean_p99 == pool.imbalance.peak_to_mean_p99 &&
           again.p99_ms == pool.p99_ms));  // the same seed gives the same result
}
