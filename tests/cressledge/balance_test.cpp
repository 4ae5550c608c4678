// Choice by what servers say of themselves, subsets by the view of the fleet, and how evenly they spread the load.
#include <set>

#include "balance/probes.hpp"
#include "balance/subset.hpp"
#include "balance/report.hpp"
#include "emulator/spread.hpp"
#include "routing/balancer.hpp"
#include "support.hpp"

namespace {

using namespace story;
using balance::Load, balance::ProbePool, balance::ProbeRules;
using membership::nobody;

bool anyone(membership::No) { return true; }

ProbeRules keeping() {  // nothing goes by itself
    ProbeRules r;
    r.removed = 0.0;
    r.hot = 0.5;
    return r;
}

std::vector<std::string> names(const char* kind, std::size_t n) {
    std::vector<std::string> all;
    for (std::size_t i = 0; i < n; ++i) all.push_back(kind + std::to_string(i));
    return all;
}

std::vector<membership::Spec> servers(int n) {
    std::vector<membership::Spec> all;
    for (int i = 0; i < n; ++i)
        all.push_back({"s" + std::to_string(i), "127.0.0.1:" + std::to_string(i + 1), "http", "", "", 1.0, false});
    return all;
}

}  // namespace

TEST_CASE("a probe pool takes the quickest of the cold, and the least loaded where all are hot") {
    ProbePool pool(keeping(), 100);
    CHECK(pool.pick(Time(0), anyone) == nobody);
    pool.heard(Time(0), 1, {2.0, 4.0, 0.9});
    CHECK(pool.pick(Time(0), anyone) == nobody);  // one answer is no choice
    pool.heard(Time(0), 2, {3.0, 4.0, 0.1});
    pool.heard(Time(0), 3, {16.0, 4.0, 0.01});
    pool.heard(Time(0), 4, {12.0, 4.0, 0.02});
    CHECK(pool.pick(Time(0), anyone) == 1);  // the only one below the median; that 3 is quick does not count
    ProbePool hot(keeping(), 100);
    for (membership::No no = 1; no < 4; ++no) hot.heard(Time(0), no, {8.0, no == 2 ? 4.0 : 2.0, no == 1 ? 0.1 : 0.5});
    CHECK(hot.pick(Time(0), [](membership::No no) { return no != 2; }) == 1);
    CHECK(hot.size() == 1);  // one that may not is not kept, and the one taken has had its use
}

TEST_CASE("a probe pool counts the calls it brings, forgets the old, and lets no answer serve for ever") {
    ProbeRules r = keeping();
    r.hot = 0.0;  // by load alone
    ProbePool pool(r, 1'000);
    pool.heard(Time(0), 1, {0.0, 2.0, 0.0});
    pool.heard(Time(0), 2, {1.0, 2.0, 0.0});
    CHECK(pool.pick(Time(0), anyone) == 1);
    CHECK(pool.size() == 1);  // equation 1: with three probes a call, and nothing else going, one use
    CHECK(pool.pick(Time(0), anyone) == nobody);
    ProbeRules few = r;
    few.per_call = 0.5;  // four uses each
    ProbePool used(few, 1'000);
    used.heard(Time(0), 1, {0.0, 2.0, 0.0});
    used.heard(Time(0), 2, {1.0, 2.0, 0.0});
    std::vector<int> times(3);
    for (int i = 0; i < 8; ++i)
        if (const auto no = used.pick(Time(0), anyone); no != nobody) ++times[no];
    CHECK(times[1] >= 3);  // the calls it brings are counted: both get their part
    CHECK(times[2] >= 2);
    pool.heard(Time(0), 1, {0.0, 2.0, 0.0});
    pool.heard(Time(0), 2, {1.0, 2.0, 0.0});
    CHECK(pool.pick(Time(0) + r.most_age + Span(1), anyone) == nobody);
    CHECK(pool.size() == 0);
    for (membership::No no = 0; no < 100; ++no) pool.heard(Time(0), no, {});
    CHECK(pool.size() == r.size);
    pool.drop(99);
    CHECK(pool.size() == r.size - 1);
    double sent = 0.0;
    ProbeRules third = r;
    third.per_call = 1.0 / 3.0;
    ProbePool seldom(third, 10);
    for (int i = 0; i < 3'000; ++i) sent += seldom.due();
    CHECK(std::abs(sent - 1'000.0) <= 1.0);
}

TEST_CASE("of a call's own probes the least loaded for its size goes first, with the call in it") {
    CHECK(balance::best({}) == nobody);
    CHECK(balance::best({{1, {3.0, 4.0, 0.1}}, {2, {10.0, 16.0, 0.9}}}) == 2);
    CHECK(balance::best({{1, {3.0, 4.0, 0.2}}, {2, {3.0, 4.0, 0.1}}}) == 2);
    balance::Expected expected(Span(1'000), 4);
    for (int i = 0; i < 8; ++i) expected.probed(Time(i * 100));
    CHECK(expected.calls(Time(700)) == 2.0);
    CHECK(expected.calls(Time(1'450)) == 0.75);
    CHECK(expected.calls(Time(9'000)) == 0.0);
}

TEST_CASE("servers are drawn in proportion to their capacity, and never twice for one call") {
    balance::ByCapacity by;
    by.build({1.0, 2.0, 4.0, 1.0});
    membership::Random random(4);
    std::vector<double> n(4);
    for (int i = 0; i < 80'000; ++i) n[by.draw(random)] += 1.0 / 10'000.0;
    CHECK(std::abs(n[0] - 1.0) < 0.05);
    CHECK(std::abs(n[1] - 2.0) < 0.06);
    CHECK(std::abs(n[2] - 4.0) < 0.08);
    for (int i = 0; i < 100; ++i) {
        std::vector<std::uint32_t> some;
        by.draw(random, 3, some);
        std::sort(some.begin(), some.end());
        CHECK(std::adjacent_find(some.begin(), some.end()) == some.end());
    }
    std::vector<std::uint32_t> all;
    by.draw(random, 9, all);
    CHECK(all.size() <= 4);
}

TEST_CASE("subsets are even to one process, and who comes or goes moves little") {
    for (const auto& [p, s, size] : {std::tuple{50, 300, 20}, std::tuple{300, 300, 20}, std::tuple{120, 70, 9}, std::tuple{7, 3, 20}}) {
        const auto processes = names("p", static_cast<std::size_t>(p)), servers = names("s", static_cast<std::size_t>(s));
        const auto rows = balance::subsets(processes, servers, static_cast<std::size_t>(size));
        std::vector<int> n(servers.size());
        const int each = std::min(size, s);
        for (auto row : rows) {
            REQUIRE(row.size() == static_cast<std::size_t>(each));
            for (const auto i : row) ++n[i];
            std::sort(row.begin(), row.end());
            CHECK(std::adjacent_find(row.begin(), row.end()) == row.end());
        }
        const auto [least, most] = std::minmax_element(n.begin(), n.end());
        CHECK(*most - *least <= 2);
        CHECK(*most <= (p * each + s - 1) / s + 1);
    }
    const auto moved = [](std::vector<std::string> p1, std::vector<std::string> s1, std::vector<std::string> p2,
                          std::vector<std::string> s2) {
        const auto a = balance::subsets(p1, s1, 20), b = balance::subsets(p2, s2, 20);
        std::size_t changed = 0, all = 0;
        for (std::size_t i = 0; i < std::min(p1.size(), p2.size()); ++i) {
            std::set<std::string> before, after;
            for (const auto k : a[i]) before.insert(s1[k]);
            for (const auto k : b[i]) after.insert(s2[k]);
            for (const auto& k : after) changed += 1 - before.count(k);
            all += after.size();
        }
        return static_cast<double>(changed) / static_cast<double>(all);
    };
    CHECK(moved(names("p", 300), names("s", 300), names("p", 301), names("s", 300)) < 0.1);
    CHECK(moved(names("p", 300), names("s", 300), names("p", 300), names("s", 301)) < 0.1);
}

TEST_CASE("a server's report of its load is read whole or not at all") {
    const auto l = balance::parse_report("TEXT named_metrics.in_flight=12, cpu_utilization=0.3,named_metrics.capacity=8, named_metrics.latency_ms=31.5");
    REQUIRE(l.has_value());
    CHECK((l->in_flight == 12.0 && l->capacity == 8.0));
    CHECK(l->latency == Approx(0.0315));
    CHECK(balance::parse_report(balance::report({3.0, 4.0, 0.25}))->latency == Approx(0.25));
    for (const char* bad : {"", "TEXT ", "JSON {}", "TEXT named_metrics.in_flight=1", "TEXT named_metrics.in_flight=1, named_metrics.capacity=0",
                            "TEXT named_metrics.in_flight=-1, named_metrics.capacity=4", "TEXT named_metrics.in_flight=nan, named_metrics.capacity=4",
                            "TEXT named_metrics.in_flight=1, named_metrics.capacity=inf", "TEXT named_metrics.in_flight=1x, named_metrics.capacity=4",
                            "TEXT a, named_metrics.in_flight=1, named_metrics.capacity=4"})
        CHECK_FALSE(balance::parse_report(bad).has_value());
    CHECK_FALSE(balance::parse_report("TEXT named_metrics.in_flight=1, named_metrics.capacity=4" + std::string(300, ' ')).has_value());
}

TEST_CASE("the balancer goes by what servers say, not by one that fails fast or is no longer there, and else by two") {
    using namespace cressledge::membership;
    Random random(5);
    Membership members;
    members.use(Time(0), servers(20), random);
    routing::BalancerRules rules;
    rules.policy = routing::Policy::probe_pool;
    routing::Balancer b(members, rules);
    b.refresh();
    CHECK(b.pick(Time(1), 0, {}, random) != nobody);  // nobody has said anything: two choices
    b.heard(Time(1), 3, {1.0, 8.0, 0.05});
    b.heard(Time(1), 4, {7.0, 8.0, 0.05});
    b.heard(Time(1), 5, {5.0, 8.0, 0.05});
    CHECK(b.pick(Time(2), 0, {}, random) == 3);
    b.heard(Time(2), 3, {0.0, 8.0, 0.05});
    b.started(Time(2), 3);
    b.ended(Time(3), 3, Result::error, Span(100));  // idle, for it fails at once
    members.ended(Time(3), 3, Result::error, Span(100));
    CHECK(b.pick(Time(3), 0, {}, random) != 3);
    std::vector<No> whom;
    std::size_t asked = 0;
    for (int i = 0; i < 10; ++i) b.ask(random, whom), asked += whom.size();
    CHECK(asked == 30);
}

TEST_CASE("processes of one fleet share the servers out evenly, and each finds its own part") {
    using namespace cressledge::membership;
    const auto processes = names("p", 12);
    std::vector<int> used(30);
    for (const std::string& me : processes) {
        Random random(5);
        Membership members;
        members.use(Time(0), servers(30), random);
        routing::BalancerRules rules;
        rules.subset = 5;
        rules.node = me;
        routing::Balancer b(members, rules);
        b.refresh();
        CHECK(b.candidates().size() == 5);
        b.peers(Time(0), processes);
        CHECK(b.candidates().size() == 5);
        for (const No no : b.candidates()) ++used[no];
    }
    const auto [least, most] = std::minmax_element(used.begin(), used.end());
    CHECK((*least >= 1 && *most <= 3));  // 2 each, to one
}

TEST_CASE("emulated: calls probed first spread as evenly as all-seeing ones, and figures of a second ago make a herd") {
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
               stale = with(emulator::Choice::stale), today = with(emulator::Choice::today), pool = with(emulator::Choice::pool);
    CHECK(probed.even.worst_p99 < 1.3);
    CHECK(probed.p99_ms < 1.5 * ideal.p99_ms);
    CHECK(probed.even.idle < 0.01);
    CHECK(stale.even.worst_p99 > 10.0);
    CHECK(today.even.worst_p99 > probed.even.worst_p99);
    CHECK(pool.even.worst_p99 < today.even.worst_p99);
    const auto again = with(emulator::Choice::pool);
    CHECK((again.even.worst_p99 == pool.even.worst_p99 && again.p99_ms == pool.p99_ms));  // one seed, one run
}
