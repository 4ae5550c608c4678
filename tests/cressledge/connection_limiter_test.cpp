// Tests of the connection limiter with a simulated clock and without sockets.
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
    "connection limiter: a source over one of its limits is rejected with the reason, other sources are "
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
    // A burst of five connections, then four per second.
    CHECK(fixture.open("127.0.0.9").reason == RejectionReason::connection_rate);
    CHECK_FALSE(fixture.open("127.0.0.10").rejected);
    fixture.now += milliseconds(260);
    CHECK(fixture.open("127.0.0.9").reason == RejectionReason::source_connections);
    // The clock is set back by an hour; the bucket refills from the new time.
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
    "connection limiter: unlisted addresses with the same prefix are one source, a listed address is "
    "separate") {
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

TEST_CASE("connection limiter: the dynamic threshold of a source falls with the number of free connections") {
    ConnectionLimiterFixture fixture;
    fixture.settings.dynamic_threshold_factor = 1.0;
    // With a factor of 1, one source gets half of all connections.
    for (int i = 0; i < 10; ++i)
        fixture.open_with_request("127.0.0.9");
    CHECK(fixture.open("127.0.0.9").reason == RejectionReason::dynamic_threshold);
    for (int i = 0; i < 5; ++i)
        fixture.open_with_request("127.0.0.10");
    CHECK(fixture.open("127.0.0.10").reason == RejectionReason::dynamic_threshold);
    for (int i = 0; i < 5; ++i)
        CHECK_FALSE(fixture.open("127.0.1." + std::to_string(i)).rejected);
    // A source that has reached its dynamic threshold is admitted if one of its own connections has awaited a
    // request beyond the grace period; that connection is evicted.
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
    "connection limiter: evicts the oldest waiting connection of the largest source, then idle ones, never "
    "a request in flight") {
    ConnectionLimiterFixture fixture;
    const ConnectionSlotId in_flight_slot = fixture.open_with_request("127.0.0.1");
    const auto idle = fixture.open("127.0.0.2");
    REQUIRE(fixture.limiter().admit_request(fixture.now, idle.slot_id).admitted);
    fixture.limiter().on_response_sent(fixture.now, idle.slot_id, true);
    // Awaits a request as long as the connections of the flood, but is the only connection of its source.
    fixture.open("127.0.0.3");
    for (int i = 0; i < 17; ++i)
        fixture.open("127.0.0.9");
    fixture.now += milliseconds(10);
    // All are within the grace period, so a connection of the source with far more connections is evicted.
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
    "connection limiter: a closing connection has a grace period, and its request counts until it is "
    "closed") {
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
    // The slot has been reused for another connection, so the old id releases nothing.
    fixture.limiter().release_connection(slot_id);
    CHECK(fixture.limiter().open_connections() == 1);
}

TEST_CASE("connection limiter: a group regains its reserve by evictions, never of a request in flight") {
    ConnectionLimiterFixture fixture;
    fixture.add_group("127.1.0.0/16", "front-ends", 5, 5);
    for (int i = 0; i < 15; ++i)
        fixture.open_with_request("127.0.0." + std::to_string(i));
    // Other clients may use reserved connections, but not reserved requests.
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
    // The group now uses its whole reserve and has no priority beyond it.
    CHECK(fixture.open("127.0.4.1").reason == RejectionReason::total_connections);
    CHECK(fixture.open("127.1.0.1").reason == RejectionReason::total_connections);
    CHECK(fixture.limiter().group_usage(1).in_flight_requests == 5);
}

TEST_CASE(
    "connection limiter: a listed source has its own limits, and other sources of its group keep the "
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

TEST_CASE("connection limiter: one source gets only a fraction of the rejection slots") {
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
    // Each of the three connections counts once, although one was also rejected as a request.
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
    // Without the inherited tokens, each of the 20,000 addresses would get a burst of two.
    CHECK(admitted < 64 * 3);
    // The listed source is still tracked with its one connection.
    CHECK(fixture.open("127.1.0.1").reason == RejectionReason::source_connections);
    RejectionCounts sum = fixture.limiter().rejections_of_evicted_sources();
    for (const auto& report : fixture.limiter().top_rejected_sources(1'000))
        for (std::size_t i = 0; i < rejection_reason_count; ++i)
            sum[i] += report.rejections[i];
    CHECK(sum == fixture.limiter().rejections());
}

TEST_CASE(
    "connection limiter: a reconfiguration to lower limits closes no connection and recounts them by their "
    "new groups") {
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

// Checks the invariants listed in connection_limiter.hpp under random events.
TEST_CASE(
    "connection limiter: a client within its group's reserve is always admitted, with its request, under "
    "random events") {
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const auto random_below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
        ConnectionLimiterFixture fixture;
        fixture.settings.max_connections = 8 + random_below(40);
        fixture.settings.max_in_flight_requests = random_below(2) == 0 ? 0 : 6 + random_below(40);
        fixture.settings.dynamic_threshold_factor = random_below(2) * 0.5;
        fixture.settings.unlisted_source_limits = {random_below(2) * 6, random_below(2) * 3,
                                                   random_below(2) * 20.0, 1.0 + random_below(10)};
        fixture.add_group("127.1.0.0/16", "a", 1 + random_below(3), 1 + random_below(2));
        fixture.add_group("127.2.0.0/16", "b", 1 + random_below(3), 1 + random_below(2));
        std::set<std::uint64_t> in_flight;  // connection ids
        for (int step = 0; step < 400; ++step) {
            fixture.now += Duration(random_below(40'000));
            const auto random_connection = [&] {
                auto it = fixture.slots.begin();
                std::advance(it, random_below(static_cast<std::uint32_t>(fixture.slots.size())));
                return it;
            };
            const std::uint32_t event = fixture.slots.empty() ? 0 : random_below(10);
            if (event < 5) {
                const std::uint32_t group = random_below(4) == 0 ? 1 + random_below(2) : 0;
                const ConnectionLimiter::GroupUsage usage = fixture.limiter().group_usage(group);
                const bool is_within_reserve =
                    group != 0 &&
                    usage.open_connections < fixture.settings.groups[group - 1].reserved_connections;
                const auto decision =
                    fixture.open(IpAddress::from_v4(0x7f000000U | group << 16U | random_below(12)));
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
                    const bool keep_alive = random_below(2) == 0;
                    fixture.limiter().on_response_sent(fixture.now, connection->second, keep_alive);
                    if (!keep_alive && random_below(2) == 0)
                        fixture.limiter().release_connection(connection->second);
                    // A closing connection carries no further request.
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
