// Choice of hosts by this process's own calls, local preference, subsets and affinity, on a manual clock.
#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "host_set_fixture.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::upstream_health;
using namespace cressledge::load_balancing;

TEST_CASE("Balancer: power of two choices avoids hosts that fail fast, hang or are slow") {
    HealthSettings no_ejections;  // so that only the balancer avoids the hosts
    no_ejections.suspect_after_failures = ~0U;
    no_ejections.eject_after_failures = ~0U;
    no_ejections.max_failure_rate = 2.0;
    no_ejections.max_latency_ratio = 1e9;
    HostSetFixture fixture(10, no_ejections);
    constexpr HostId failing = 6;
    constexpr HostId slow = 2;
    std::map<HostId, int> calls;
    for (int i = 0; i < 2'000; ++i) {
        const HostId host_id = fixture.balancer().pick(fixture.now, 0, {}, fixture.random);
        ++calls[host_id];
        if (host_id == failing)
            fixture.call(CallResult::error, ms(1), host_id);
        else
            fixture.call(CallResult::ok, ms(host_id == slow ? 90 : 50), host_id);
        if (i % 20 == 0)
            fixture.apply(fixture.hosts.tick(fixture.now));
    }
    CHECK(calls[failing] < 2'000 / 20);
    CHECK(calls[slow] < calls[3]);
    HostSetFixture hanging(10, no_ejections);
    for (int i = 0; i < 200; ++i)
        hanging.call(CallResult::ok, ms(50));
    for (int i = 0; i < 3; ++i)
        hanging.balancer().on_call_started(hanging.now, 5);  // calls that are never answered
    hanging.now += ms(1'000);
    CHECK(hanging.balancer().cost(hanging.now, 5) > 20.0 * hanging.balancer().cost(hanging.now, 4));
}

TEST_CASE(
    "Balancer: local hosts are preferred up to the spillover limit; subsets and key affinity are stable") {
    HostSetFixture fixture(10);
    fixture.settings.local_data_centre = "thies";
    for (int i = 0; i < 7; ++i) {  // up to 1.5 calls for each of the five local hosts
        const HostId host_id = fixture.balancer().pick(fixture.now, 0, {}, fixture.random);
        CHECK(fixture.hosts.at(host_id).spec.data_centre == "thies");
        fixture.balancer().on_call_started(fixture.now, host_id);
    }
    fixture.balancer().on_call_started(fixture.now, 0);
    std::set<std::string> data_centres;
    for (int i = 0; i < 50; ++i)
        data_centres.insert(
            fixture.hosts.at(fixture.balancer().pick(fixture.now, 0, {}, fixture.random)).spec.data_centre);
    CHECK(data_centres.size() == 2);
    std::vector<std::string> names;
    for (int i = 0; i < 200; ++i)
        names.push_back("tiles-" + std::to_string(i));
    const auto subset_before = rendezvous_subset("n3", names, 20);
    CHECK(subset_before.size() == 20);
    CHECK(rendezvous_subset("n4", names, 20) != subset_before);
    std::set<std::string> names_before;
    for (const auto i : subset_before)
        names_before.insert(names[i]);
    names.erase(names.begin() + subset_before[0]);
    int unchanged_count = 0;
    for (const auto i : rendezvous_subset("n3", names, 20))
        unchanged_count += names_before.count(names[i]) != 0 ? 1 : 0;
    CHECK(unchanged_count == 19);
    MaglevTable table;
    MaglevTable smaller_table;
    table.build(names);
    std::vector<int> entries(names.size());
    for (const auto i : table.table())
        ++entries[i];
    const auto [min_entries, max_entries] = std::minmax_element(entries.begin(), entries.end());
    CHECK(*max_entries - *min_entries <= 1);
    auto fewer_names = names;
    fewer_names.pop_back();
    smaller_table.build(fewer_names);
    int moved_keys = 0;
    for (std::uint64_t key = 1; key <= 10'000; ++key)
        moved_keys += names[table.find(key)] != fewer_names[smaller_table.find(key)] ? 1 : 0;
    CHECK(moved_keys < 10'000 / 20);  // one host of 199 was removed
    HostSetFixture keyed(10);
    const HostId affine_host = keyed.balancer().pick(keyed.now, 77, {}, keyed.random);
    CHECK(keyed.balancer().pick(keyed.now, 77, {}, keyed.random) == affine_host);
    for (int i = 0; i < 3; ++i)
        keyed.balancer().on_call_started(keyed.now, affine_host);
    // The host exceeds 1.25 times the mean of calls in flight.
    CHECK(keyed.balancer().pick(keyed.now, 77, {}, keyed.random) != affine_host);
}

}  // namespace
