// Tests of how connections are closed, over real sockets and both protocols. Races are deterministic: the client uses
// system calls while the event loop is not running, and only then does the frontend take its next step.
#include "frontend_fixture.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE(
    "connection shutdown: an unread request on an idle connection is answered when the shutdown starts") {
    for (const Protocol protocol : all_protocols) {
        FrontendFixture fixture(protocol);
        auto client = fixture.open_idle_connection();
        // The request stays unread: the loop is not running.
        client->send(fixture.request());
        fixture.frontend().start_drain();
        CHECK(fixture.running_ids.size() == 1);
        fixture.finish_all();
        fixture.expect_served(*client);
        if (protocol == Protocol::http)
            CHECK(client->has_received("Connection: close\r\n"));
    }
}

TEST_CASE(
    "connection shutdown: a request sent after the shutdown started never runs, and the connection is not "
    "reset") {
    for (const Protocol protocol : all_protocols) {
        FrontendFixture fixture(protocol);
        auto client = fixture.open_idle_connection();
        const auto before = fixture.requests_read();
        fixture.frontend().start_drain();
        // The client sends before it has seen the close.
        client->send(fixture.request());
        fixture.expect_clean_close(*client);
        CHECK(fixture.requests_read() == before);
        CHECK(fixture.running_ids.empty());
        // The connection lingers until the client closes too.
        CHECK(fixture.frontend().has_unfinished_responses());
        client->close();
        fixture.test_loop.run_until([&] { return fixture.frontend().is_drained(); });
    }
}

TEST_CASE("connection shutdown: input after the last response neither runs nor destroys the response") {
    for (const Protocol protocol : all_protocols) {
        FrontendFixture fixture(protocol);
        auto client = fixture.open_idle_connection();
        client->send(fixture.request());
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1; });
        fixture.frontend().start_drain();
        // Still unread when the response is written.
        client->send(fixture.request() + fixture.request());
        fixture.finish_all();
        client->try_send(fixture.request());
        fixture.expect_served(*client);
        CHECK(fixture.requests_read() == 1);
        client->close();
        fixture.test_loop.run_until([&] { return fixture.frontend().is_drained(); });
    }
}

TEST_CASE(
    "connection shutdown: connections in the backlog are answered before the listening socket is closed") {
    for (const Protocol protocol : all_protocols) {
        FrontendFixture fixture(protocol);
        RawClient awaiting(fixture.frontend().port());
        RawClient silent(fixture.frontend().port());
        awaiting.send(fixture.request());
        // Neither has been accepted yet.
        fixture.frontend().start_drain();
        fixture.finish_all();
        fixture.expect_served(awaiting);
        fixture.expect_clean_close(silent);
        RawClient late(fixture.frontend().port());
        CHECK((late.connect_refused || late.is_over()));
    }
}

TEST_CASE(
    "connection shutdown: a request that races the idle timeout is answered, and an idle connection closes "
    "cleanly") {
    frontend::Frontend::Limits limits;
    limits.idle_timeout = Duration(1'000'000);
    FrontendFixture fixture(Protocol::http, limits);
    auto crossing = fixture.open_idle_connection();
    auto idle = fixture.open_idle_connection();
    crossing->send(fixture.request());
    // Both idle timeouts have expired, and the loop has read nothing.
    fixture.test_loop.timers.run_due(wall_clock_now() + Duration(1'500'000));
    CHECK(fixture.running_ids.size() == 1);
    fixture.expect_clean_close(*idle);
    CHECK(fixture.frontend().closed_connections().idle_timeouts == 1);
    fixture.finish_all();
    fixture.test_loop.run_until([&] { return crossing->has_received("a whole map"); });
    // The connection stays open for further requests.
    CHECK_FALSE(crossing->is_over());
}

TEST_CASE("connection shutdown: unread input is read before a request times out") {
    for (const Protocol protocol : all_protocols) {
        FrontendFixture fixture(protocol);
        const std::string full_request = fixture.request();
        auto client = fixture.open_idle_connection();
        auto incomplete = fixture.open_idle_connection();
        client->send(full_request.substr(0, 20));
        incomplete->send(full_request.substr(0, 20));
        fixture.test_loop.loop.run_once(false);
        fixture.test_loop.loop.run_once(false);
        client->send(full_request.substr(20));
        fixture.test_loop.timers.run_due(wall_clock_now() + Duration(5'000'000));
        CHECK(fixture.running_ids.size() == 1);
        fixture.test_loop.run_until([&] { return incomplete->is_over(); });
        CHECK(incomplete->has_received(protocol == Protocol::http ? " 408 " : " 400 "));
        CHECK(fixture.frontend().closed_connections().request_timeouts == 1);
        CHECK_FALSE(incomplete->was_reset);
        fixture.finish_all();
        fixture.test_loop.run_until([&] { return client->has_received("a whole map"); });
    }
}

TEST_CASE(
    "connection shutdown: a connection evicted for another gets 503 for its request, or closes "
    "cleanly") {
    for (const Protocol protocol : all_protocols) {
        FrontendFixture fixture(protocol, {}, 2);
        auto active = fixture.open_idle_connection();
        // Unread.
        active->send(fixture.request());
        auto other = std::make_unique<RawClient>(fixture.frontend().port());
        RawClient third(fixture.frontend().port());
        other->send(fixture.request("trail-sheet"));
        third.send(fixture.request("trail-sheet"));
        // All three are admitted or rejected in one turn of the loop, before the first one is read.
        fixture.test_loop.run_until([&] {
            fixture.finish_all();
            return active->has_received("\r\n\r\n") && other->has_received("\r\n\r\n") &&
                   third.has_received("\r\n\r\n");
        });
        for (RawClient* client : {active.get(), other.get(), &third}) {
            CHECK_FALSE(client->was_reset);
            CHECK((client->has_received(" 200 OK") || client->has_received(" 503 ")));
        }
    }
}

TEST_CASE("connection shutdown: an evicted connection's unread request never runs and gets 503") {
    for (const Protocol protocol : all_protocols) {
        FrontendFixture fixture(protocol);
        auto client = fixture.open_idle_connection();
        auto idle = fixture.open_idle_connection();
        client->send(fixture.request());
        for (int i = 0; i < 2; ++i)
            CHECK(fixture.admitter.descriptors().used() > 0);
        const auto first = fixture.admitter.limiter().evict_connection(fixture.request_manager.now());
        const auto second = fixture.admitter.limiter().evict_connection(fixture.request_manager.now());
        REQUIRE((first && second));
        fixture.frontend().evict(first->connection_id);
        fixture.frontend().evict(second->connection_id);
        fixture.test_loop.run_until([&] { return client->is_over() && idle->is_over(); });
        CHECK(client->has_received(" 503 "));
        CHECK_FALSE(client->was_reset);
        CHECK(idle->received.empty());
        CHECK_FALSE(idle->was_reset);
        CHECK(fixture.frontend().closed_connections().evicted == 2);
        CHECK(fixture.running_ids.empty());
    }
}

TEST_CASE(
    "connection shutdown: a connection that waits for a descriptor when the shutdown starts is "
    "answered later") {
    for (const Protocol protocol : all_protocols) {
        FrontendFixture fixture(protocol);
        auto active = fixture.open_idle_connection();
        active->send(fixture.request());
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1; });
        // Takes all descriptors that the frontend could use.
        std::vector<connection_admission::FileDescriptorBudget::Lease> leases;
        while (auto lease = fixture.descriptors.try_acquire(
                   fixture.request_manager.now(), connection_admission::DescriptorPurpose::frontend))
            leases.push_back(std::move(lease));
        RawClient waiting(fixture.frontend().port());
        waiting.send(fixture.request());
        fixture.frontend().start_drain();
        CHECK(fixture.requests_read() == 1);
        CHECK(fixture.frontend().has_unfinished_responses());
        fixture.finish_all();
        fixture.expect_served(*active);
        leases.clear();
        fixture.frontend().drain_backlog(false);
        CHECK(fixture.running_ids.size() == 1);
        fixture.finish_all();
        fixture.expect_served(waiting);
        active->close();
        waiting.close();
        fixture.test_loop.run_until([&] { return fixture.frontend().is_drained(); });
    }
}

TEST_CASE(
    "connection shutdown: without a connection slot or rejection slot, a request sent with the connection "
    "gets 503") {
    for (const Protocol protocol : all_protocols) {
        FrontendFixture fixture(protocol, {}, 2);
        std::vector<std::unique_ptr<RawClient>> active_clients;
        std::vector<std::unique_ptr<RawClient>> waiting_clients;
        for (int i = 0; i < 2; ++i) {
            active_clients.push_back(fixture.open_idle_connection());
            active_clients.back()->send(fixture.request());
        }
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 2; });
        // One source may hold only one rejection slot.
        waiting_clients.push_back(std::make_unique<RawClient>(fixture.frontend().port()));
        fixture.test_loop.run_until([&] { return fixture.admitter.limiter().rejection_slots_in_use() == 1; },
                                    true);
        RawClient active(fixture.frontend().port());
        RawClient silent(fixture.frontend().port());
        // The request is in the receive buffer before the connection is accepted.
        active.send(fixture.request());
        fixture.test_loop.run_until([&] { return active.is_over() && silent.is_over(); });
        INFO(active.received);
        CHECK(active.has_received(" 503 "));
        CHECK_FALSE(active.was_reset);
        CHECK(silent.received.empty());
        CHECK_FALSE(silent.was_reset);
        CHECK(fixture.running_ids.size() == 2);
        fixture.finish_all();
        for (const auto& client : active_clients)
            fixture.test_loop.run_until([&] { return client->has_received("a whole map"); });
    }
}

TEST_CASE("connection shutdown: an incomplete request and a silent connection do not delay the exit") {
    for (const Protocol protocol : all_protocols) {
        frontend::Frontend::Limits limits;
        // Longer than the shutdown: only the exit can end the incomplete request.
        limits.request_timeout = Duration(60'000'000);
        FrontendFixture fixture(protocol, limits, 64, Duration(20'000'000));
        const std::string full_request = fixture.request();
        auto incomplete = fixture.open_idle_connection();
        auto silent = fixture.open_idle_connection();
        auto active = fixture.open_idle_connection();
        active->send(full_request);
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1; });
        incomplete->send(full_request.substr(0, 20));
        fixture.test_loop.loop.run_once(false);
        fixture.test_loop.loop.run_once(false);
        const Timestamp started_at = wall_clock_now();
        fixture.shutdown_coordinator.begin_graceful_shutdown();
        // The drain starts half a second before the deadline. The test moves the timers there instead of waiting.
        fixture.test_loop.timers.run_due(fixture.request_manager.shutdown_deadline() - Duration(500'000));
        bool stopped = false;
        fixture.finish_all();
        fixture.expect_served(*active);
        fixture.expect_clean_close(*silent);
        active->close();
        silent->close();
        fixture.test_loop.run_until([&] {
            if (incomplete->is_over())
                incomplete->close();
            return stopped = fixture.frontend().is_drained();
        });
        CHECK(stopped);
        CHECK(fixture.frontend().closed_connections().incomplete_at_shutdown == 1);
        // An incomplete request gets no response.
        CHECK(incomplete->received.empty());
        CHECK_FALSE(incomplete->was_reset);
        CHECK(wall_clock_now() - started_at < Duration(5'000'000));
    }
}

TEST_CASE("connection shutdown: a request completed while other requests are in flight is answered") {
    for (const Protocol protocol : all_protocols) {
        FrontendFixture fixture(protocol);
        const std::string full_request = fixture.request();
        auto incomplete = fixture.open_idle_connection();
        auto active = fixture.open_idle_connection();
        active->send(full_request);
        incomplete->send(full_request.substr(0, 20));
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1; });
        fixture.test_loop.loop.run_once(false);
        fixture.frontend().start_drain();
        incomplete->send(full_request.substr(20));
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 2; });
        fixture.finish_all();
        fixture.expect_served(*active);
        fixture.expect_served(*incomplete);
    }
}

TEST_CASE(
    "connection shutdown: a response larger than the send buffer reaches a client that has half-closed") {
    FrontendFixture fixture(Protocol::http, {}, 64, Duration(3'000'000), test_settings(), 8'192);
    auto client = fixture.open_idle_connection(4'096);
    client->send(fixture.request());
    fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1; });
    fixture.frontend().start_drain();
    const std::string large(240'000, 'm');
    for (const request::RequestId request_id : std::exchange(fixture.running_ids, {}))
        fixture.request_manager.run_finished(request_id, request::RunResult::succeeded, large);
    // Most of the response is still unwritten.
    client->half_close();
    for (int i = 0; i < 3; ++i)
        fixture.test_loop.loop.run_once(false);
    fixture.test_loop.run_until([&] { return client->is_over(); });
    CHECK_FALSE(client->was_reset);
    CHECK(client->received.size() > large.size());
}

TEST_CASE(
    "connection shutdown: malformed, truncated and excess input is counted, and ends the connection in "
    "bounded time") {
    for (const Protocol protocol : all_protocols) {
        FrontendFixture fixture(protocol);
        auto malformed = fixture.open_idle_connection();
        auto truncated = fixture.open_idle_connection();
        auto flooding = fixture.open_idle_connection();
        malformed->send("x:\r\n\r\n");
        truncated->send(fixture.request().substr(0, 20));
        truncated->half_close();
        flooding->send(fixture.request());
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1 && malformed->is_over(); });
        CHECK(malformed->has_received(" 400 "));
        CHECK(fixture.frontend().closed_connections().malformed_requests == 1);
        fixture.test_loop.run_until([&] { return truncated->is_over(); });
        // An HTTP client that half-closes within a request has given up and gets no response. An SCGI client gets one.
        CHECK(truncated->has_received(" 400 ") == (protocol == Protocol::scgi));
        CHECK(fixture.frontend().closed_connections().truncated_requests == 1);
        fixture.frontend().start_drain();
        fixture.finish_all();
        const std::string excess_bytes(64'000, 'x');
        fixture.test_loop.run_until(
            [&] {
                flooding->try_send(excess_bytes);
                return fixture.frontend().closed_connections().excess_input == 1;
            },
            false);
        CHECK(fixture.requests_read() == 1);
    }
}

TEST_CASE(
    "connection shutdown: an inherited socket is closed before the drain only for a successor, also one that "
    "is told of late") {
    // A send buffer size makes the fixture's socket an inherited one.
    FrontendFixture fixture(Protocol::http, {}, 64, Duration(3'000'000), test_settings(), 8'192);
    const int port = fixture.frontend().port();
    REQUIRE(port != 0);
    fixture.shutdown_coordinator.begin_graceful_shutdown(frontend::Successor::none);
    fixture.shutdown_coordinator.begin_graceful_shutdown(frontend::Successor::none);
    CHECK(fixture.frontend().port() == port);
    RawClient early(port);
    early.send(fixture.request());
    fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1; });
    fixture.shutdown_coordinator.begin_graceful_shutdown(frontend::Successor::present);
    CHECK(fixture.frontend().port() == 0);
    fixture.finish_all();
    fixture.expect_served(early);
}

TEST_CASE("connection shutdown: only a backlog that is never empty has no other process to accept from it") {
    frontend::UnclaimedBacklogDetector detector;
    constexpr std::uint32_t looks = frontend::UnclaimedBacklogDetector::looks_until_unclaimed;
    for (std::uint32_t look = 1; look < 3 * looks; ++look) {
        // A successor accepts just before each tenth look.
        CHECK_FALSE(detector.observe(look % looks != 0));
        CHECK(detector.is_undecided() == (look % looks != 0));
    }
    CHECK_FALSE(detector.observe(false));
    for (std::uint32_t look = 1; look < looks; ++look)
        CHECK_FALSE(detector.observe(true));
    CHECK_FALSE(detector.has_found_unclaimed());
    CHECK(detector.observe(true));
    CHECK((detector.has_found_unclaimed() && !detector.is_undecided()));
}

TEST_CASE("connection shutdown: a connection lifecycle never returns to an earlier state") {
    frontend::ConnectionLifecycle lifecycle;
    CHECK(lifecycle.accepts_requests());
    CHECK(lifecycle.drain());
    CHECK((lifecycle.accepts_requests() && lifecycle.announces_close()));
    CHECK_FALSE(lifecycle.drain());
    CHECK(lifecycle.linger());
    CHECK_FALSE(lifecycle.accepts_requests());
    CHECK_FALSE((lifecycle.drain() || lifecycle.linger()));
    CHECK(lifecycle.close());
    CHECK_FALSE((lifecycle.linger() || lifecycle.close() || lifecycle.is_lingering()));
    CHECK(lifecycle.is_closed());
}

}  // namespace
