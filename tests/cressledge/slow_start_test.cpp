// The slow-start ramp of a cold server holds for the sum of all processes: first the decision alone, with many of them by a
// manual clock, then 30 real processes with joins, deaths and a cut among them.
#include <algorithm>
#include <cmath>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>

#include "fake_upstream/fleet.hpp"
#include "fault_injection/crowd.hpp"
#include "load_balancing/balancer.hpp"
#include "load_generator/driver.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using load_balancing::SlowStartLimiter;
using load_balancing::SlowStartSettings;

constexpr Duration step(5'000);

// The most that any window had over what chance allows it; at or below 0 all is well.
double excess(const SlowStartLimiter& ramp, Timestamp announced, const std::vector<Timestamp>& calls,
              Duration window) {
    double worst = -1e9;
    std::size_t first = 0;
    for (std::size_t last = 0; last < calls.size(); ++last) {
        while (calls[last] - calls[first] > window)
            ++first;
        const double n = ramp.allowed_calls(announced, calls[last] - window, calls[last]);
        worst = std::max(worst, static_cast<double>(last - first + 1) - (n + 2.0 * std::sqrt(n) + 2.0));
    }
    return worst;
}

struct Process {
    SlowStartLimiter ramp;
    upstream_health::Random random;
    bool lives = true;
    Process(const SlowStartSettings& rules, std::uint64_t seed, std::uint64_t stream)
        : ramp(rules), random(seed, stream) {}
};

// All want to call the one cold server as often as they may: the sum of what they send.
struct Plays {
    SlowStartSettings rules;
    upstream_health::HostSpec spec;
    Timestamp now{1'764'576'000'000'000};
    Timestamp announced = now;
    std::vector<Process> all;
    std::vector<Timestamp> calls;
    upstream_health::Random random;
    explicit Plays(std::size_t processes, std::uint64_t seed) : random(seed, 77) {
        rules.calls_per_s = 40.0;
        spec.name = "cold-" + std::to_string(seed);
        for (std::size_t i = 0; i < processes; ++i)
            all.emplace_back(rules, seed, i);
    }
    static std::string name(std::size_t i) { return "p" + std::to_string(100 + i); }
    void know(std::size_t who, const std::vector<std::size_t>& whom) {
        std::vector<std::string> names;
        for (const std::size_t i : whom)
            names.push_back(name(i));
        all[who].ramp.update_peers(now, names, name(who));
    }
    std::vector<std::size_t> living() const {
        std::vector<std::size_t> l;
        for (std::size_t i = 0; i < all.size(); ++i)
            if (all[i].lives)
                l.push_back(i);
        return l;
    }
    void all_know() {
        const auto l = living();
        for (const std::size_t i : l)
            know(i, l);
    }
    void begin() {
        for (Process& p : all)
            p.ramp.begin(0, spec, announced, p.random);
    }
    void run(Duration time) {
        std::vector<std::size_t> order = living();
        for (const Timestamp end = now + time; now < end; now += step) {
            for (std::size_t i = order.size(); i > 1; --i)
                std::swap(order[i - 1], order[random(static_cast<std::uint32_t>(i))]);
            for (const std::size_t i : order) {
                Process& p = all[i];
                if (!p.lives || !p.ramp.allows(now, 0))
                    continue;
                p.ramp.on_call_started(now, 0);
                calls.push_back(now);
            }
        }
    }
    double worst() const { return excess(all[0].ramp, announced, calls, rules.window); }
};

constexpr std::size_t sizes[] = {1, 10, 20, 30};

}  // namespace

TEST_CASE(
    "ramp: what 1, 10, 20 and 30 processes send to a cold server stays within the budget of all, over 20 "
    "seeds") {
    for (const std::size_t n : sizes) {
        double worst = -1e9, least = 1e9;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Plays p(n, seed);
            p.all_know();
            p.begin();
            p.run(p.rules.warm_up_time);
            worst = std::max(worst, p.worst());
            least = std::min(least, static_cast<double>(p.calls.size()) /
                                        p.all[0].ramp.allowed_calls(p.announced, p.announced, p.now));
        }
        // One process alone counts the configured 32: it cannot know that nobody else sends.
        std::printf(
            "ramp: %2zu processes, 20 seeds: at most %.1f calls of a window against N + 2 root N + 2; used "
            "%.0f%% at least\n",
            n, worst, 100.0 * least);
        CHECK(worst <= 0.0);
        if (n > 1)
            CHECK(least > 0.9);
    }
}

TEST_CASE("ramp: processes that know nobody draw their parts by themselves, and the sum still holds") {
    for (const std::size_t n : sizes)
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Plays p(n, seed);
            p.begin();
            p.run(p.rules.warm_up_time);
            CHECK(p.worst() <= 0.0);
        }
}

TEST_CASE("ramp: a server's word on its load draws no call beyond its ramp, whatever the policy") {
    for (const load_balancing::BalancingPolicy policy :
         {load_balancing::BalancingPolicy::probe_first, load_balancing::BalancingPolicy::probe_pool,
          load_balancing::BalancingPolicy::power_of_two_choices}) {
        upstream_health::HostSet members;
        upstream_health::Random random(1);
        const Timestamp start(1'764'576'000'000'000);
        upstream_health::HostSpec warm, cold;
        warm.name = "warm", cold.name = "cold";
        members.update(start, {warm}, random);
        members.update(start, {warm, cold}, random);
        load_balancing::BalancerSettings rules;
        rules.policy = policy;
        rules.slow_start.calls_per_s = 10.0;
        rules.slow_start.assumed_processes = 1.0;
        load_balancing::Balancer b(members, rules);
        b.refresh();
        const upstream_health::HostId newcomer = members.listed_hosts().back();
        REQUIRE(members.at(newcomer).state == upstream_health::HostState::warming_up);
        std::size_t calls = 0;
        std::vector<upstream_health::HostId> whom;
        for (Timestamp now = start; now < start + rules.slow_start.warm_up_time; now += step) {
            b.pick_probe_targets(random, whom);
            load_balancing::LoadReport idle;
            idle.capacity = 100.0;
            if (!b.effective_load(now, newcomer, idle))
                continue;  // none: it may not be chosen by it
            b.on_call_started(now, newcomer);
            ++calls;
        }
        const double n = SlowStartLimiter(rules.slow_start)
                             .allowed_calls(start, start, start + rules.slow_start.warm_up_time);
        CHECK(static_cast<double>(calls) <= n + 1.0);
        CHECK(static_cast<double>(calls) > 0.8 * n);
    }
}

TEST_CASE("ramp: joins, deaths and a cut in the middle leave the sum within its budget") {
    for (const std::size_t n : {10U, 20U, 30U})
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Plays p(n, seed);
            p.all_know();
            p.begin();
            p.run(Duration(2'000'000));
            // A third dies, and is known to be dead.
            for (std::size_t i = 0; i < n / 3; ++i)
                p.all[p.random(static_cast<std::uint32_t>(n))].lives = false;
            p.all[0].lives = p.all[n - 1].lives = true;
            p.all_know();
            p.run(Duration(2'000'000));
            // The living fall into halves that do not see each other, and all go on sending.
            const auto l = p.living();
            const std::vector<std::size_t> one(l.begin(),
                                               l.begin() + static_cast<std::ptrdiff_t>(l.size() / 2)),
                other(l.begin() + static_cast<std::ptrdiff_t>(l.size() / 2), l.end());
            for (const std::size_t i : one)
                p.know(i, one);
            for (const std::size_t i : other)
                p.know(i, other);
            p.run(Duration(2'000'000));
            // Five join, of whom the others hear 100 ms later.
            for (std::size_t i = 0; i < 5; ++i) {
                p.all.emplace_back(p.rules, seed, n + i);
                p.all.back().ramp.begin(0, p.spec, p.now, p.all.back().random);
            }
            p.run(Duration(100'000));
            p.all_know();
            p.run(Duration(3'900'000));
            CHECK(p.worst() <= 0.0);
        }
}

TEST_CASE("ramp: 30 real processes hold a joining server's ramp together, with joins, deaths and a cut") {
    TestLoop w;
    char name[] = "/tmp/cressledge-ramp-XXXXXX";
    const std::string folder = mkdtemp(name);
    const auto clean = std::unique_ptr<const std::string, void (*)(const std::string*)>(
        &folder, [](const std::string* f) { std::filesystem::remove_all(*f); });
    fake_upstream::Plan servers;
    servers.servers.resize(4);
    servers.addresses.assign(4, "127.0.0.1:0");
    fake_upstream::Fleet fleet(w.loop, w.timers, servers);
    const auto inventory = [&](std::size_t n) {
        std::string text = "name,address,protocol,group\n";
        for (std::size_t i = 0; i < n; ++i)
            text += "s" + std::to_string(i) + "," + fleet.address(i) + ",http,g\n";
        return text;
    };
    SlowStartSettings rules;
    rules.calls_per_s = 40.0;
    rules.warm_up_time = Duration(6'000'000);
    rules.assumed_processes = 35.0;
    fault_injection::Plan plan;
    plan.program = CRESSLEDGE_PROGRAM;
    plan.folder = folder;
    plan.doors = true;
    plan.servers = inventory(3);
    plan.general =
        "cores: 64\nstop_ms: 2500\nconnections: 64\nadmission: {descriptors: 256}\n"
        "routing: {probes: false, watch_ms: 0, members: {slow_start_ms: 6000}, slow_start: {calls_per_s: 40, "
        "peers: 35}}\n"
        "classes:\n  - {name: sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n";
    fault_injection::Crowd crowd(w.loop, w.timers, plan);
    for (std::size_t i = 0; i < 30; ++i)
        crowd.add(i == 0 ? std::vector<std::size_t>{} : std::vector<std::size_t>{0});
    REQUIRE(crowd.agreed(Duration(40'000'000)));
    load_generator::Driver driver(w.loop, w.timers,
                                  load_generator::Arrivals(400.0, 1, {{"sheet", 1.0, false}}, 5));
    const auto doors = [&] {
        std::vector<net::Address> all;
        for (const std::size_t no : crowd.all_running())
            all.push_back(*net::Address::parse(membership::to_string(crowd.door(no))));
        driver.doors(all);
    };
    doors();
    driver.start();
    const auto pass = [&](Duration t) { crowd.run(wall_clock_now() + t); };
    pass(Duration(1'500'000));  // each process has told its balancer of the others, as it does every second
    // The fourth server is announced to all at once.
    std::ofstream(folder + "/servers.csv") << inventory(4);
    const Timestamp announced = wall_clock_now();
    for (const std::size_t no : crowd.all_running())
        crowd.signal(no, SIGHUP);
    std::vector<Timestamp> calls;
    const auto watch = [&](Duration t) {
        for (const Timestamp end = wall_clock_now() + t; wall_clock_now() < end;) {
            pass(Duration(10'000));
            while (calls.size() < fleet.calls()[3])
                calls.push_back(wall_clock_now());
        }
    };
    watch(Duration(1'500'000));
    for (const std::size_t no : {7U, 8U, 9U})
        crowd.signal(no, SIGKILL);
    doors();
    watch(Duration(1'000'000));
    std::set<std::string> half;
    for (std::size_t i = 0; i < 15; ++i)
        half.insert(crowd.id(i));
    crowd.relay().part(half);
    watch(Duration(1'500'000));
    crowd.relay().heal();
    for (const std::size_t no : {7U, 8U, 9U})
        crowd.start(no);  // they know nobody yet
    watch(Duration(2'000'000));
    driver.stop();
    const SlowStartLimiter ramp(rules);
    const double n = ramp.allowed_calls(announced, announced, announced + rules.warm_up_time);
    std::printf(
        "ramp: 30 real processes: %zu calls of %.0f allowed; the fullest window %.1f against N + 2 root N + "
        "2\n",
        calls.size(), n, excess(ramp, announced, calls, rules.window));
    CHECK(excess(ramp, announced, calls, rules.window) <= 0.0);
    CHECK(static_cast<double>(calls.size()) >
          0.15 * n);  // it is called at all: how much depends on the machine
    CHECK(crowd.crashes() == 0);
}
