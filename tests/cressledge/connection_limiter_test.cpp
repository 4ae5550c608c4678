// The connection limiter on a scripted clock.
#include "connection_admission/connection_limiter.hpp"

#include <cstdint>
#include <iterator>
#include <random>
#include <set>
#include <string>

#include "connection_limiter_fixture.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::connection_admission;

TEST_CASE(
    "connection limiter: a source over a limit of its own is rejected with the reason, other sources are "
    "not") {
    ConnectionLimiterFixture fixture;
    fixture.settings.unlisted_source_limits = {3, 2, 4.0, 5.0};
    fixture.open_with_request("127.0.0.9");
    fixture.open_with_request("127.0.0.9");
    const auto third = fixture.open("127.0.0.9");
    const auto decision = fixture.limiter().admit_request(fixture.now, third.slot_id);
    CHECK_FALSE(decision.admitted);
    CHECK(decision.reason == RejectionReason::source_requests);
    CHECK(decision.retry_after > Duration(0));
    CHECK(fixture.open("127.0.0.9").reason == RejectionReason::source_connections);
    CHECK(fixture.open("127.0.0.9").rejected);
    // Five at once, then four a second.
    CHECK(fixture.open("127.0.0.9").reason == RejectionReason::connection_rate);
    CHECK_FALSE(fixture.open("127.0.0.10").rejected);
    fixture.now += milliseconds(260);
    CHECK(fixture.open("127.0.0.9").reason == RejectionReason::source_connections);
    // The clock is set back an hour: the bucket goes on filling from there.
    fixture.now -= milliseconds(3'600'000);
    CHECK(fixture.open("127.0.0.9").reason == RejectionReason::connection_rate);
    fixture.now += milliseconds(260);
    CHECK(fixture.open("127.0.0.9").reason == RejectionReason::source_connections);
    const auto reports = fixture.limiter().top_rejected_sources(5);
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].source == "127.0.0.9");
    CHECK(reports[0].rejections[static_cast<std::size_t>(RejectionReason::source_connections)] == 4);
    CHECK(reports[0].rejections[static_cast<std::size_t>(RejectionReason::connection_rate)] == 2);
    CHECK(reports[0].total_rejections == 7);
}

TEST_CASE(
    "connection limiter: unlisted addresses with one prefix are one source, a listed address is its own") {
    ConnectionLimiterFixture fixture;
    fixture.settings.v4_prefix_length = 24;
    fixture.settings.unlisted_source_limits.max_connections = 2;
    fixture.add_group("127.0.5.7", "front-ends", 1, 1);
    CHECK_FALSE(fixture.open("127.0.5.1").rejected);
    CHECK_FALSE(fixture.open("127.0.5.2").rejected);
    CHECK(fixture.open("127.0.5.3").reason == RejectionReason::source_connections);
    CHECK_FALSE(fixture.open("127.0.6.3").rejected);
    CHECK_FALSE(fixture.open("127.0.5.7").rejected);
    CHECK(fixture.limiter().group_usage(1).open_connections == 1);
}

TEST_CASE("connection limiter: the fewer connections are free, the fewer one source may have") {
    ConnectionLimiterFixture fixture;
    fixture.settings.dynamic_threshold_factor = 1.0;
    // Half of all connections.
    for (int i = 0; i < 10; ++i)
        fixture.open_with_request("127.0.0.9");
    CHECK(fixture.open("127.0.0.9").reason == RejectionReason::dynamic_threshold);
    for (int i = 0; i < 5; ++i)
        fixture.open_with_request("127.0.0.10");
    CHECK(fixture.open("127.0.0.10").reason == RejectionReason::dynamic_threshold);
    for (int i = 0; i < 5; ++i)
        CHECK_FALSE(fixture.open("127.0.1." + std::to_string(i)).rejected);
    // Of a source over its share one of its own connections is evicted, if one awaits a request for long
    // enough.
    ConnectionLimiterFixture other;
    other.settings.dynamic_threshold_factor = 1.0;
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(other.open("127.0.0.9").rejected);
    other.now += milliseconds(300);
    const auto decision = other.open("127.0.0.9");
    CHECK_FALSE(decision.rejected);
    REQUIRE(decision.evicted);
    CHECK(decision.evicted->connection_id == 1);
}

TEST_CASE(
    "connection limiter: evicts the longest waiting of the heaviest source, then idle ones, no request in "
    "flight") {
    ConnectionLimiterFixture fixture;
    const ConnectionSlotId in_flight_slot = fixture.open_with_request("127.0.0.1");
    const auto idle = fixture.open("127.0.0.2");
    REQUIRE(fixture.limiter().admit_request(fixture.now, idle.slot_id).admitted);
    fixture.limiter().on_response_sent(fixture.now, idle.slot_id, true);
    // Awaits a request for as long as the flood, but is the only one of its source.
    fixture.open("127.0.0.3");
    for (int i = 0; i < 17; ++i)
        fixture.open("127.0.0.9");
    fixture.now += milliseconds(10);
    // All of them are new: the source with far more connections loses one.
    const auto decision = fixture.open("127.0.0.4");
    REQUIRE(decision.evicted);
    CHECK(decision.evicted->connection_id == 4);
    fixture.now += milliseconds(300);
    for (int i = 0; i < 15; ++i)
        REQUIRE(fixture.open("127.0.1." + std::to_string(i)).evicted);
    CHECK(fixture.slots.count(3) == 1);
    CHECK(fixture.slots.count(2) == 1);
    for (int i = 0; i < 40; ++i) {
        fixture.now += milliseconds(300);
        REQUIRE(fixture.open("127.0.2." + std::to_string(i)).evicted);
    }
    CHECK(fixture.limiter().address_of(in_flight_slot) == parse_address("127.0.0.1"));
    CHECK(fixture.limiter().shared_in_flight_requests() == 1);
}

TEST_CASE(
    "connection limiter: a closing connection is given time, and its request counts until it is closed") {
    ConnectionLimiterFixture fixture;
    fixture.settings.max_connections = 1;
    fixture.settings.rejection_slots = 0;
    const ConnectionSlotId slot_id = fixture.open_with_request("127.0.0.1");
    fixture.limiter().on_response_sent(fixture.now, slot_id, false);
    CHECK(fixture.limiter().shared_in_flight_requests() == 1);
    CHECK(fixture.open("127.0.0.2").reason == RejectionReason::total_connections);
    fixture.now += milliseconds(260);
    CHECK(fixture.open("127.0.0.2").evicted);
    CHECK(fixture.limiter().shared_in_flight_requests() == 0);
    // Its slot belongs to another connection by now.
    fixture.limiter().release_connection(slot_id);
    CHECK(fixture.limiter().open_connections() == 1);
}

TEST_CASE("connection limiter: a group gets its reserve back by evictions, and none of a request in flight") {
    ConnectionLimiterFixture fixture;
    fixture.add_group("127.1.0.0/16", "front-ends", 5, 5);
    for (int i = 0; i < 15; ++i)
        fixture.open_with_request("127.0.0." + std::to_string(i));
    // Connections of the reserve may be used by others, its requests may not.
    for (int i = 0; i < 5; ++i) {
        const auto decision = fixture.open("127.0.3." + std::to_string(i));
        REQUIRE_FALSE(decision.rejected);
        const auto request_decision = fixture.limiter().admit_request(fixture.now, decision.slot_id);
        CHECK_FALSE(request_decision.admitted);
        CHECK(request_decision.reason == RejectionReason::total_requests);
    }
    for (int i = 0; i < 5; ++i) {
        const auto decision = fixture.open("127.1.0.1");
        REQUIRE(decision.evicted);
        CHECK(decision.evicted->connection_id > 15);
        CHECK(fixture.limiter().admit_request(fixture.now, decision.slot_id).admitted);
    }
    // The group uses its reserve itself now, and beyond it its clients have no privilege.
    CHECK(fixture.open("127.0.4.1").reason == RejectionReason::total_connections);
    CHECK(fixture.open("127.1.0.1").reason == RejectionReason::total_connections);
    CHECK(fixture.limiter().group_usage(1).in_flight_requests == 5);
}

TEST_CASE(
    "connection limiter: a listed source has limits of its own, and the rest of its group keeps the "
    "reserve") {
    ConnectionLimiterFixture fixture;
    fixture.add_group("127.1.0.0/16", "front-ends", 8, 8, {4, 3, 0.0, 1.0});
    for (int i = 0; i < 4; ++i)
        CHECK_FALSE(fixture.open("127.1.0.1").rejected);
    CHECK(fixture.open("127.1.0.1").reason == RejectionReason::source_connections);
    for (int i = 0; i < 30; ++i)
        fixture.open("127.0.0." + std::to_string(i));
    for (int i = 0; i < 4; ++i)
        CHECK_FALSE(fixture.open("127.1.0.2").rejected);
    CHECK(fixture.limiter().group_usage(1).open_connections == 8);
}

TEST_CASE("connection limiter: one source gets a part of the rejection slots only") {
    ConnectionLimiterFixture fixture;
    fixture.settings.unlisted_source_limits.max_connections = 1;
    fixture.open("127.0.0.9");
    const auto first = fixture.open("127.0.0.9");
    CHECK((first.rejected && first.slot_id != 0));
    const auto request_decision = fixture.limiter().admit_request(fixture.now, first.slot_id);
    CHECK_FALSE(request_decision.admitted);
    CHECK(request_decision.reason == RejectionReason::source_connections);
    CHECK(fixture.open("127.0.0.9").slot_id == 0);
    fixture.open("127.0.0.8");
    CHECK(fixture.open("127.0.0.8").slot_id != 0);
    CHECK(fixture.limiter().rejection_slots_in_use() == 2);
    // Each of the three counts once, although one was rejected as a connection and as a request.
    CHECK(fixture.limiter().rejections()[static_cast<std::size_t>(RejectionReason::source_connections)] == 3);
    fixture.limiter().release_connection(first.slot_id);
    CHECK(fixture.open("127.0.0.9").slot_id != 0);
}

TEST_CASE(
    "connection limiter: rotating addresses evict no listed or connected source and refill no token bucket") {
    ConnectionLimiterFixture fixture;
    fixture.settings.tracked_sources = 64;
    fixture.settings.max_connections = 16;
    fixture.settings.unlisted_source_limits = {2, 0, 1.0, 2.0};
    fixture.add_group("127.1.0.0/16", "front-ends", 2, 2, {1, 0, 0.0, 1.0});
    REQUIRE_FALSE(fixture.open("127.1.0.1").rejected);
    REQUIRE_FALSE(fixture.open("127.0.0.1").rejected);
    const std::size_t bytes = fixture.limiter().memory_bytes();
    std::uint64_t admitted = 0;
    for (std::uint32_t i = 0; i < 20'000; ++i)
        admitted += fixture.open(IpAddress::from_v4(0x0a000000U + i)).rejected ? 0 : 1;
    CHECK(fixture.limiter().memory_bytes() == bytes);
    // And not two for each of 20,000 addresses.
    CHECK(admitted < 64 * 3);
    // It is still known that this source has its one connection.
    CHECK(fixture.open("127.1.0.1").reason == RejectionReason::source_connections);
    RejectionCounts sum = fixture.limiter().rejections_of_evicted_sources();
    for (const auto& report : fixture.limiter().top_rejected_sources(1'000))
        for (std::size_t r = 0; r < rejection_reason_count; ++r)
            sum[r] += report.rejections[r];
    CHECK(sum == fixture.limiter().rejections());
}

TEST_CASE(
    "connection limiter: reconfigured to lower limits it closes nothing and counts connections in their new "
    "groups") {
    ConnectionLimiterFixture fixture;
    for (int i = 0; i < 12; ++i)
        fixture.open_with_request("127.0.0." + std::to_string(i));
    for (int i = 0; i < 6; ++i)
        fixture.open("127.1.0.1");
    fixture.settings.max_connections = 8;
    fixture.settings.unlisted_source_limits.max_connections = 1;
    fixture.add_group("127.1.0.0/16", "front-ends", 3, 3);
    fixture.limiter().reconfigure(fixture.now, fixture.settings);
    fixture.limiter().check_invariants();
    CHECK(fixture.limiter().open_connections() == 18);
    CHECK(fixture.limiter().group_usage(1).open_connections == 6);
    CHECK(fixture.open("127.0.9.9").reason == RejectionReason::total_connections);
    for (int i = 1; i <= 12; ++i)
        fixture.limiter().release_connection(fixture.slots[static_cast<std::uint64_t>(i)]);
    CHECK(fixture.limiter().open_connections() == 6);
    CHECK_FALSE(fixture.open("127.0.9.9").rejected);
    CHECK(fixture.open("127.0.9.9").reason == RejectionReason::source_connections);
    fixture.settings.groups.clear();
    fixture.settings.networks = {};
    fixture.limiter().reconfigure(fixture.now, fixture.settings);
    CHECK(fixture.limiter().open_connections() == 7);
}

// The invariants of connection_limiter.hpp, against random events.
TEST_CASE(
    "connection limiter: a client within its group's reserve is always admitted, with its request, at random "
    "events") {
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const auto below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
        ConnectionLimiterFixture fixture;
        fixture.settings.max_connections = 8 + below(40);
        fixture.settings.max_in_flight_requests = below(2) == 0 ? 0 : 6 + below(40);
        fixture.settings.dynamic_threshold_factor = below(2) * 0.5;
        fixture.settings.unlisted_source_limits = {below(2) * 6, below(2) * 3, below(2) * 20.0,
                                                   1.0 + below(10)};
        fixture.add_group("127.1.0.0/16", "a", 1 + below(3), 1 + below(2));
        fixture.add_group("127.2.0.0/16", "b", 1 + below(3), 1 + below(2));
        std::set<std::uint64_t> in_flight;  // connection ids
        for (int step = 0; step < 400; ++step) {
            fixture.now += Duration(below(40'000));
            const auto random_connection = [&] {
                auto it = fixture.slots.begin();
                std::advance(it, below(static_cast<std::uint32_t>(fixture.slots.size())));
                return it;
            };
            const std::uint32_t event = fixture.slots.empty() ? 0 : below(10);
            if (event < 5) {
                const std::uint32_t group = below(4) == 0 ? 1 + below(2) : 0;
                const ConnectionLimiter::GroupUsage usage = fixture.limiter().group_usage(group);
                const bool is_within_reserve =
                    group != 0 &&
                    usage.open_connections < fixture.settings.groups[group - 1].reserved_connections;
                const auto decision =
                    fixture.open(IpAddress::from_v4(0x7f000000U | group << 16U | below(12)));
                INFO("seed " << seed << " step " << step);
                if (decision.evicted)
                    REQUIRE(in_flight.count(decision.evicted->connection_id) == 0);
                if (is_within_reserve)
                    REQUIRE_FALSE(decision.rejected);
                if (is_within_reserve &&
                    usage.in_flight_requests < fixture.settings.groups[group - 1].reserved_requests) {
                    REQUIRE(fixture.limiter().admit_request(fixture.now, decision.slot_id).admitted);
                    in_flight.insert(fixture.last_connection_id);
                }
            } else if (event < 8) {
                const auto connection = random_connection();
                if (in_flight.count(connection->first) == 0 &&
                    fixture.limiter().admit_request(fixture.now, connection->second).admitted)
                    in_flight.insert(connection->first);
            } else if (event == 8) {
                const auto connection = random_connection();
                if (in_flight.erase(connection->first) != 0) {
                    const bool keep_alive = below(2) == 0;
                    fixture.limiter().on_response_sent(fixture.now, connection->second, keep_alive);
                    if (!keep_alive && below(2) == 0)
                        fixture.limiter().release_connection(connection->second);
                    // No request comes on it any more.
                    if (!keep_alive)
                        fixture.slots.erase(connection);
                }
            } else {
                const auto connection = random_connection();
                fixture.limiter().release_connection(connection->second);
                in_flight.erase(connection->first);
                fixture.slots.erase(connection);
            }
            REQUIRE(fixture.limiter().open_connections() <= fixture.settings.max_connections);
            if (step % 50 == 0)
                fixture.limiter().check_invariants();
        }
    }
}

}  // namespace
