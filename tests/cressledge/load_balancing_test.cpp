// Choice by what servers say of themselves, subsets by the view of the fleet, and how evenly they spread the load.
#include <set>

#include "emulator/spread.hpp"
#include "load_balancing/balancer.hpp"
#include "load_balancing/load_probes.hpp"
#include "load_balancing/load_reports.hpp"
#include "load_balancing/subset.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using load_balancing::LoadReport, load_balancing::ProbePool, load_balancing::LoadProbeSettings;
using upstream_health::no_host;

bool anyone(upstream_health::HostId) {
    return true;
}

LoadProbeSettings keeping() {  // nothing goes by itself
    LoadProbeSettings r;
    r.removals_per_call = 0.0;
    r.hot_quantile = 0.5;
    return r;
}

std::vector<std::string> names(const char* kind, std::size_t n) {
    std::vector<std::string> all;
    for (std::size_t i = 0; i < n; ++i)
        all.push_back(kind + std::to_string(i));
    return all;
}

std::vector<upstream_health::HostSpec> servers(int n) {
    std::vector<upstream_health::HostSpec> all;
    for (int i = 0; i < n; ++i)
        all.push_back(
            {"s" + std::to_string(i), "127.0.0.1:" + std::to_string(i + 1), "http", "", "", 1.0, false});
    return all;
}

}  // namespace

TEST_CASE("a probe pool takes the quickest of the cold, and the least loaded where all are hot") {
    ProbePool pool(keeping(), 100);
    CHECK(pool.pick(Timestamp(0), anyone) == no_host);
    pool.add(Timestamp(0), 1, {2.0, 4.0, 0.9});
    CHECK(pool.pick(Timestamp(0), anyone) == no_host);  // one answer is no choice
    pool.add(Timestamp(0), 2, {3.0, 4.0, 0.1});
    pool.add(Timestamp(0), 3, {16.0, 4.0, 0.01});
    pool.add(Timestamp(0), 4, {12.0, 4.0, 0.02});
    CHECK(pool.pick(Timestamp(0), anyone) ==
          1);  // the only one below the median; that 3 is quick does not count
    ProbePool hot(keeping(), 100);
    for (upstream_health::HostId no = 1; no < 4; ++no)
        hot.add(Timestamp(0), no, {8.0, no == 2 ? 4.0 : 2.0, no == 1 ? 0.1 : 0.5});
    CHECK(hot.pick(Timestamp(0), [](upstream_health::HostId no) { return no != 2; }) == 1);
    CHECK(hot.size() == 1);  // one that may not is not kept, and the one taken has had its use
}

TEST_CASE("a probe pool counts the calls it brings, forgets the old, and lets no answer serve for ever") {
    LoadProbeSettings r = keeping();
    r.hot_quantile = 0.0;  // by load alone
    ProbePool pool(r, 1'000);
    pool.add(Timestamp(0), 1, {0.0, 2.0, 0.0});
    pool.add(Timestamp(0), 2, {1.0, 2.0, 0.0});
    CHECK(pool.pick(Timestamp(0), anyone) == 1);
    CHECK(pool.size() == 1);  // equation 1: with three probes a call, and nothing else going, one use
    CHECK(pool.pick(Timestamp(0), anyone) == no_host);
    LoadProbeSettings few = r;
    few.probes_per_call = 0.5;  // four uses each
    ProbePool used(few, 1'000);
    used.add(Timestamp(0), 1, {0.0, 2.0, 0.0});
    used.add(Timestamp(0), 2, {1.0, 2.0, 0.0});
    std::vector<int> times(3);
    for (int i = 0; i < 8; ++i)
        if (const auto no = used.pick(Timestamp(0), anyone); no != no_host)
            ++times[no];
    CHECK(times[1] >= 3);  // the calls it brings are counted: both get their part
    CHECK(times[2] >= 2);
    pool.add(Timestamp(0), 1, {0.0, 2.0, 0.0});
    pool.add(Timestamp(0), 2, {1.0, 2.0, 0.0});
    CHECK(pool.pick(Timestamp(0) + r.max_age + Duration(1), anyone) == no_host);
    CHECK(pool.size() == 0);
    for (upstream_health::HostId no = 0; no < 100; ++no)
        pool.add(Timestamp(0), no, {});
    CHECK(pool.size() == r.pool_size);
    pool.remove(99);
    CHECK(pool.size() == r.pool_size - 1);
    double sent = 0.0;
    LoadProbeSettings third = r;
    third.probes_per_call = 1.0 / 3.0;
    ProbePool seldom(third, 10);
    for (int i = 0; i < 3'000; ++i)
        sent += seldom.take_due_probes();
    CHECK(std::abs(sent - 1'000.0) <= 1.0);
}

TEST_CASE("of a call's own probes the least loaded for its size goes first, with the call in it") {
    CHECK(load_balancing::least_loaded({}) == no_host);
    CHECK(load_balancing::least_loaded({{1, {3.0, 4.0, 0.1}}, {2, {10.0, 16.0, 0.9}}}) == 2);
    CHECK(load_balancing::least_loaded({{1, {3.0, 4.0, 0.2}}, {2, {3.0, 4.0, 0.1}}}) == 2);
    load_balancing::ExpectedCallEstimator expected(Duration(1'000), 4);
    for (int i = 0; i < 8; ++i)
        expected.on_probe(Timestamp(i * 100));
    CHECK(expected.expected_calls(Timestamp(700)) == 2.0);
    CHECK(expected.expected_calls(Timestamp(1'450)) == 0.75);
    CHECK(expected.expected_calls(Timestamp(9'000)) == 0.0);
}

TEST_CASE("servers are drawn in proportion to their capacity, and never twice for one call") {
    load_balancing::WeightedSampler by;
    by.build({1.0, 2.0, 4.0, 1.0});
    upstream_health::Random random(4);
    std::vector<double> n(4);
    for (int i = 0; i < 80'000; ++i)
        n[by.sample(random)] += 1.0 / 10'000.0;
    CHECK(std::abs(n[0] - 1.0) < 0.05);
    CHECK(std::abs(n[1] - 2.0) < 0.06);
    CHECK(std::abs(n[2] - 4.0) < 0.08);
    for (int i = 0; i < 100; ++i) {
        std::vector<std::uint32_t> some;
        by.sample(random, 3, some);
        std::sort(some.begin(), some.end());
        CHECK(std::adjacent_find(some.begin(), some.end()) == some.end());
    }
    std::vector<std::uint32_t> all;
    by.sample(random, 9, all);
    CHECK(all.size() <= 4);
}

TEST_CASE("subsets are even to one process, and who comes or goes moves little") {
    for (const auto& [p, s, size] :
         {std::tuple{50, 300, 20}, std::tuple{300, 300, 20}, std::tuple{120, 70, 9}, std::tuple{7, 3, 20}}) {
        const auto processes = names("p", static_cast<std::size_t>(p)),
                   servers = names("s", static_cast<std::size_t>(s));
        const auto rows = load_balancing::assign_subsets(processes, servers, static_cast<std::size_t>(size));
        std::vector<int> n(servers.size());
        const int each = std::min(size, s);
        for (auto row : rows) {
            REQUIRE(row.size() == static_cast<std::size_t>(each));
            for (const auto i : row)
                ++n[i];
            std::sort(row.begin(), row.end());
            CHECK(std::adjacent_find(row.begin(), row.end()) == row.end());
        }
        const auto [least, most] = std::minmax_element(n.begin(), n.end());
        CHECK(*most - *least <= 2);
        CHECK(*most <= (p * each + s - 1) / s + 1);
    }
    const auto moved = [](std::vector<std::string> p1, std::vector<std::string> s1,
                          std::vector<std::string> p2, std::vector<std::string> s2) {
        const auto a = load_balancing::assign_subsets(p1, s1, 20),
                   b = load_balancing::assign_subsets(p2, s2, 20);
        std::size_t changed = 0, all = 0;
        for (std::size_t i = 0; i < std::min(p1.size(), p2.size()); ++i) {
            std::set<std::string> before, after;
            for (const auto k : a[i])
                before.insert(s1[k]);
            for (const auto k : b[i])
                after.insert(s2[k]);
            for (const auto& k : after)
                changed += 1 - before.count(k);
            all += after.size();
        }
        return static_cast<double>(changed) / static_cast<double>(all);
    };
    CHECK(moved(names("p", 300), names("s", 300), names("p", 301), names("s", 300)) < 0.1);
    CHECK(moved(names("p", 300), names("s", 300), names("p", 300), names("s", 301)) < 0.1);
}

TEST_CASE("a server's report of its load is read whole or not at all") {
    const auto l = load_balancing::parse_load_report(
        "TEXT named_metrics.in_flight=12, cpu_utilization=0.3,named_metrics.capacity=8, "
        "named_metrics.latency_ms=31.5");
    REQUIRE(l.has_value());
    CHECK((l->in_flight == 12.0 && l->capacity == 8.0));
    CHECK(l->latency_s == Approx(0.0315));
    CHECK(
        load_balancing::parse_load_report(load_balancing::format_load_report({3.0, 4.0, 0.25}))->latency_s ==
        Approx(0.25));
    for (const char* bad : {"", "TEXT ", "JSON {}", "TEXT named_metrics.in_flight=1",
                            "TEXT named_metrics.in_flight=1, named_metrics.capacity=0",
                            "TEXT named_metrics.in_flight=-1, named_metrics.capacity=4",
                            "TEXT named_metrics.in_flight=nan, named_metrics.capacity=4",
                            "TEXT named_metrics.in_flight=1, named_metrics.capacity=inf",
                            "TEXT named_metrics.in_flight=1x, named_metrics.capacity=4",
                            "TEXT a, named_metrics.in_flight=1, named_metrics.capacity=4"})
        CHECK_FALSE(load_balancing::parse_load_report(bad).has_value());
    CHECK_FALSE(load_balancing::parse_load_report("TEXT named_metrics.in_flight=1, named_metrics.capacity=4" +
                                                  std::string(300, ' '))
                    .has_value());
}

TEST_CASE(
    "the balancer goes by what servers say, not by one that fails fast or is no longer there, and else by "
    "two") {
    using namespace cressledge::upstream_health;
    Random random(5);
    HostSet members;
    members.update(Timestamp(0), servers(20), random);
    load_balancing::BalancerSettings rules;
    rules.policy = load_balancing::BalancingPolicy::probe_pool;
    load_balancing::Balancer b(members, rules);
    b.refresh();
    CHECK(b.pick(Timestamp(1), 0, {}, random) != no_host);  // nobody has said anything: two choices
    b.on_load_report(Timestamp(1), 3, {1.0, 8.0, 0.05});
    b.on_load_report(Timestamp(1), 4, {7.0, 8.0, 0.05});
    b.on_load_report(Timestamp(1), 5, {5.0, 8.0, 0.05});
    CHECK(b.pick(Timestamp(2), 0, {}, random) == 3);
    b.on_load_report(Timestamp(2), 3, {0.0, 8.0, 0.05});
    b.on_call_started(Timestamp(2), 3);
    b.on_call_finished(Timestamp(3), 3, CallResult::error, Duration(100));  // idle, for it fails at once
    members.on_call_finished(Timestamp(3), 3, CallResult::error, Duration(100));
    CHECK(b.pick(Timestamp(3), 0, {}, random) != 3);
    std::vector<HostId> whom;
    std::size_t asked = 0;
    for (int i = 0; i < 10; ++i)
        b.pick_probe_targets(random, whom), asked += whom.size();
    CHECK(asked == 30);
}

TEST_CASE("processes of one fleet share the servers out evenly, and each finds its own part") {
    using namespace cressledge::upstream_health;
    const auto processes = names("p", 12);
    std::vector<int> used(30);
    for (const std::string& me : processes) {
        Random random(5);
        HostSet members;
        members.update(Timestamp(0), servers(30), random);
        load_balancing::BalancerSettings rules;
        rules.subset_size = 5;
        rules.node_name = me;
        load_balancing::Balancer b(members, rules);
        b.refresh();
        CHECK(b.candidates().size() == 5);
        b.update_peers(Timestamp(0), processes);
        CHECK(b.candidates().size() == 5);
        for (const HostId no : b.candidates())
            ++used[no];
    }
    const auto [least, most] = std::minmax_element(used.begin(), used.end());
    CHECK((*least >= 1 && *most <= 3));  // 2 each, to one
}

TEST_CASE(
    "emulated: calls probed first spread as evenly as all-seeing ones, and figures of a second ago make a "
    "herd") {
    emulator::Spread s;
    s.processes = s.servers = 60;
    s.nature.slots = 16;
    s.seconds = 1.0;
    s.warm_up = 1.0;
    s.load = 0.9;
    const auto with = [&s](emulator::Choice c) {
        s.choice = c;
        return emulator::run(s);
    };
    const auto ideal = with(emulator::Choice::all_seen), probed = with(emulator::Choice::probed),
               stale = with(emulator::Choice::stale), today = with(emulator::Choice::today),
               pool = with(emulator::Choice::pool);
    CHECK(probed.even.worst_p99 < 1.3);
    CHECK(probed.p99_ms < 1.5 * ideal.p99_ms);
    CHECK(probed.even.idle < 0.01);
    CHECK(stale.even.worst_p99 > 10.0);
    CHECK(today.even.worst_p99 > probed.even.worst_p99);
    CHECK(pool.even.worst_p99 < today.even.worst_p99);
    const auto again = with(emulator::Choice::pool);
    CHECK((again.even.worst_p99 == pool.even.worst_p99 && again.p99_ms == pool.p99_ms));  // one seed, one run
}
