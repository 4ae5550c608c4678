// Health state transitions of hosts from calls, health checks and inventories, on a manual clock.
#include <set>
#include <string>
#include <utility>

#include "host_set_fixture.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::upstream_health;

TEST_CASE(
    "HostSet: a failing host is suspect, then ejected for longer each time, and returns through slow start") {
    HostSetFixture fixture(10);
    for (int i = 0; i < 2; ++i)
        fixture.call(CallResult::error, ms(1), 3);
    CHECK(fixture.state(3) == HostState::suspect);
    CHECK(fixture.hosts.traffic_fraction(fixture.now, 3) == Approx(0.05));
    for (int i = 0; i < 3; ++i)
        fixture.call(CallResult::error, ms(1), 3);
    CHECK(fixture.state(3) == HostState::ejected);
    CHECK(fixture.hosts.traffic_fraction(fixture.now, 3) == 0.0);
    Duration last_ejection_time{0};
    for (int flap = 1; flap <= 6; ++flap) {  // fails again after each ejection
        const Duration ejection_time = fixture.hosts.at(3).ejected_until - fixture.now;
        CHECK(ejection_time >= last_ejection_time);
        last_ejection_time = ejection_time;
        fixture.now = fixture.hosts.at(3).ejected_until;
        fixture.apply(fixture.hosts.tick(fixture.now));
        CHECK(fixture.state(3) == HostState::suspect);
        for (int i = 0; i < 3; ++i)
            fixture.call(CallResult::timeout, ms(1), 3);
        CHECK(fixture.state(3) == HostState::ejected);
    }
    CHECK(last_ejection_time == Duration(60'000'000));
    fixture.now = fixture.hosts.at(3).ejected_until;
    fixture.apply(fixture.hosts.tick(fixture.now));
    fixture.apply(fixture.hosts.on_health_check(fixture.now, 3, CallResult::ok));
    CHECK(fixture.state(3) == HostState::warming_up);
    const double initial_fraction = fixture.hosts.traffic_fraction(fixture.now, 3);
    fixture.now += ms(5'000);
    CHECK(fixture.hosts.traffic_fraction(fixture.now, 3) > initial_fraction);
    fixture.now += ms(5'000);
    fixture.apply(fixture.hosts.tick(fixture.now));
    CHECK(fixture.state(3) == HostState::ready);
}

TEST_CASE("HostSet: ejections stay within the maximum fraction, and panic mode uses all hosts") {
    HostSetFixture fixture(10);
    for (HostId host_id = 0; host_id < 10; ++host_id)
        for (int i = 0; i < 6; ++i)
            fixture.call(CallResult::error, ms(1), host_id);
    std::size_t ejected_count = 0;
    for (HostId host_id = 0; host_id < 10; ++host_id)
        ejected_count += fixture.state(host_id) == HostState::ejected ? 1 : 0;
    CHECK(ejected_count == 3);
    CHECK(fixture.hosts.in_panic_mode());
    std::set<HostId> picked;
    for (int i = 0; i < 500; ++i)
        picked.insert(fixture.balancer().pick(fixture.now, 0, {}, fixture.random));
    CHECK(fixture.balancer().candidates().size() == 10);
    CHECK(picked.size() > 7);
    HostSetFixture slow(10);  // one host is much slower than the others
    for (int i = 0; i < 20; ++i)
        for (HostId host_id = 0; host_id < 10; ++host_id)
            slow.call(CallResult::ok, ms(host_id == 4 ? 400 : 50), host_id);
    slow.apply(slow.hosts.tick(slow.now));
    CHECK(slow.state(4) == HostState::ejected);
    HostSetFixture same(10);  // all hosts become slow at once: none is an outlier
    for (int i = 0; i < 20; ++i)
        for (HostId host_id = 0; host_id < 10; ++host_id)
            same.call(CallResult::ok, ms(i < 10 ? 50 : 500), host_id);
    same.apply(same.hosts.tick(same.now));
    for (HostId host_id = 0; host_id < 10; ++host_id)
        CHECK(same.state(host_id) == HostState::ready);
}

TEST_CASE("HostSet: an inventory adds, drains, replaces and reweights hosts; a restarted host recovers") {
    HostSetFixture fixture(4);
    fixture.balancer().on_call_started(fixture.now, 1);
    // Two hosts swap addresses: both entries become new hosts.
    std::swap(fixture.specs[1].address, fixture.specs[2].address);
    fixture.update_inventory();
    CHECK(fixture.state(1) == HostState::draining);  // until its call ends
    CHECK(fixture.state(2) == HostState::removed);
    CHECK(fixture.hosts.listed_hosts().size() == 4);
    std::set<std::string> addresses;
    for (const HostId host_id : fixture.hosts.listed_hosts()) {
        addresses.insert(fixture.hosts.at(host_id).spec.address);
        CHECK(fixture.state(host_id) != HostState::draining);
    }
    CHECK(addresses.size() == 4);
    fixture.apply(fixture.hosts.on_call_finished(fixture.now, 1, CallResult::ok, ms(5)));
    CHECK(fixture.state(1) == HostState::removed);
    fixture.specs[0].drain_requested = true;
    fixture.update_inventory();
    CHECK(fixture.state(0) == HostState::draining);
    for (int i = 0; i < 200; ++i)
        CHECK(fixture.balancer().pick(fixture.now, 0, {}, fixture.random) != 0);
    fixture.specs[0].drain_requested = false;
    fixture.specs[0].weight = 2.0;
    fixture.update_inventory();
    CHECK(fixture.state(0) == HostState::warming_up);  // the same host with a new weight
    // A restarting host refuses connections, then answers again and returns through slow start.
    for (int i = 0; i < 2; ++i)
        fixture.call(CallResult::connection_refused, ms(1), 3);
    CHECK(fixture.state(3) == HostState::suspect);
    fixture.call(CallResult::ok, ms(20), 3);
    CHECK(fixture.state(3) == HostState::warming_up);
    fixture.specs.clear();
    fixture.update_inventory();
    CHECK(fixture.balancer().pick(fixture.now, 0, {}, fixture.random) == no_host);
}

}  // namespace
