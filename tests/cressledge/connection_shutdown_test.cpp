// The instants in which a connection ends, on real sockets and on both fronts. Each crossing is forced: the peer acts by
// plain system calls while the loop stands still, and only then does the program take its step.
#include "frontend_fixture.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE("ending: a request that lies unread on a resting connection when it is to end is answered") {
    for (const Protocol wire : all_protocols) {
        FrontendFixture h(wire);
        auto r = h.open_idle_connection();
        r->send(h.request());  // the loop does not turn
        h.frontend().start_drain();
        CHECK(h.running_ids.size() == 1);
        h.finish_all();
        h.expect_served(*r);
        if (wire == Protocol::http)
            CHECK(r->has_received("Connection: close\r\n"));
    }
}

TEST_CASE("ending: what comes after the shutdown is never run, and resets nothing") {
    for (const Protocol wire : all_protocols) {
        FrontendFixture h(wire);
        auto r = h.open_idle_connection();
        const auto before = h.requests_read();
        h.frontend().start_drain();
        r->send(h.request());  // it crosses the shutdown
        h.expect_clean_close(*r);
        CHECK(h.requests_read() == before);
        CHECK(h.running_ids.empty());
        CHECK(h.frontend().has_unfinished_responses());  // until the other side has closed as well
        r->close();
        h.test_loop.run_until([&] { return h.frontend().is_drained(); });
    }
}

TEST_CASE("ending: bytes behind a last answer neither destroy it nor run") {
    for (const Protocol wire : all_protocols) {
        FrontendFixture h(wire);
        auto r = h.open_idle_connection();
        r->send(h.request());
        h.test_loop.run_until([&] { return h.running_ids.size() == 1; });
        h.frontend().start_drain();
        r->send(h.request() + h.request());  // unread when the answer goes out
        h.finish_all();
        r->try_send(h.request());
        h.expect_served(*r);
        CHECK(h.requests_read() == 1);
        r->close();
        h.test_loop.run_until([&] { return h.frontend().is_drained(); });
    }
}

TEST_CASE("ending: who waits in the backlog when the listening socket is closed is answered") {
    for (const Protocol wire : all_protocols) {
        FrontendFixture h(wire);
        RawClient asked(h.frontend().port()), silent(h.frontend().port());
        asked.send(h.request());
        h.frontend().start_drain();  // neither has been accepted yet
        h.finish_all();
        h.expect_served(asked);
        h.expect_clean_close(silent);
        RawClient late(h.frontend().port());
        CHECK((late.connect_refused || late.is_over()));
    }
}

TEST_CASE(
    "ending: a request that comes in the instant of an idle limit is answered, and another ends clean") {
    frontend::Frontend::Limits limits;
    limits.idle_timeout = Duration(1'000'000);
    FrontendFixture h(Protocol::http, limits);
    auto crosses = h.open_idle_connection(), rests = h.open_idle_connection();
    crosses->send(h.request());
    h.test_loop.timers.run_due(wall_clock_now() +
                               Duration(1'500'000));  // both limits are over, and the loop has read nothing
    CHECK(h.running_ids.size() == 1);
    h.expect_clean_close(*rests);
    CHECK(h.frontend().closed_connections().idle_timeouts == 1);
    h.finish_all();
    h.test_loop.run_until([&] { return crosses->has_received("a whole map"); });
    CHECK_FALSE(crosses->is_over());  // and it may ask again
}

TEST_CASE(
    "ending: the last bytes of a request that lie unread at its time's end are read before it is judged") {
    for (const Protocol wire : all_protocols) {
        FrontendFixture h(wire);
        const std::string all = h.request();
        auto r = h.open_idle_connection(), half = h.open_idle_connection();
        r->send(all.substr(0, 20));
        half->send(all.substr(0, 20));
        h.test_loop.loop.run_once(false);
        h.test_loop.loop.run_once(false);
        r->send(all.substr(20));
        h.test_loop.timers.run_due(wall_clock_now() + Duration(5'000'000));
        CHECK(h.running_ids.size() == 1);
        h.test_loop.run_until([&] { return half->is_over(); });
        CHECK(half->has_received(wire == Protocol::http ? " 408 " : " 400 "));
        CHECK(h.frontend().closed_connections().request_timeouts == 1);
        CHECK_FALSE(half->was_reset);
        h.finish_all();
        h.test_loop.run_until([&] { return r->has_received("a whole map"); });
    }
}

TEST_CASE("ending: a connection that makes room is refused what it had asked by then, or ends clean") {
    for (const Protocol wire : all_protocols) {
        FrontendFixture h(wire, {}, 2);
        auto asks = h.open_idle_connection();
        asks->send(h.request());  // unread
        auto other = std::make_unique<RawClient>(h.frontend().port());
        RawClient third(h.frontend().port());
        other->send(h.request("trail-sheet"));
        third.send(h.request("trail-sheet"));
        // All three are let in or refused in one go, before anything is read from the first.
        h.test_loop.run_until([&] {
            h.finish_all();
            return asks->has_received("\r\n\r\n") && other->has_received("\r\n\r\n") &&
                   third.has_received("\r\n\r\n");
        });
        for (RawClient* r : {asks.get(), other.get(), &third}) {
            CHECK_FALSE(r->was_reset);
            CHECK((r->has_received(" 200 OK") || r->has_received(" 503 ")));
        }
    }
}

TEST_CASE("ending: an evicted connection's unread request never runs and is told so") {
    for (const Protocol wire : all_protocols) {
        FrontendFixture h(wire);
        auto r = h.open_idle_connection(), idle = h.open_idle_connection();
        r->send(h.request());
        for (int i = 0; i < 2; ++i)
            CHECK(h.admitter.descriptors().used() > 0);
        const auto one = h.admitter.limiter().evict_connection(h.server.now()),
                   two = h.admitter.limiter().evict_connection(h.server.now());
        REQUIRE((one && two));
        h.frontend().evict(one->connection_id);
        h.frontend().evict(two->connection_id);
        h.test_loop.run_until([&] { return r->is_over() && idle->is_over(); });
        CHECK(r->has_received(" 503 "));
        CHECK_FALSE(r->was_reset);
        CHECK(idle->received.empty());
        CHECK_FALSE(idle->was_reset);
        CHECK(h.frontend().closed_connections().evicted == 2);
        CHECK(h.running_ids.empty());
    }
}

TEST_CASE(
    "ending: who waits in the backlog for want of a descriptor when the process is to leave is answered in "
    "the end") {
    for (const Protocol wire : all_protocols) {
        FrontendFixture h(wire);
        auto asks = h.open_idle_connection();
        asks->send(h.request());
        h.test_loop.run_until([&] { return h.running_ids.size() == 1; });
        std::vector<connection_admission::FileDescriptorBudget::Lease>
            taken;  // all that the front might have
        while (auto lease = h.descriptors.try_acquire(h.server.now(),
                                                      connection_admission::DescriptorPurpose::frontend))
            taken.push_back(std::move(lease));
        RawClient waits(h.frontend().port());
        waits.send(h.request());
        h.frontend().start_drain();
        CHECK(h.requests_read() == 1);
        CHECK(h.frontend().has_unfinished_responses());
        h.finish_all();
        h.expect_served(*asks);
        taken.clear();
        h.frontend().drain_backlog(false);
        CHECK(h.running_ids.size() == 1);
        h.finish_all();
        h.expect_served(waits);
        asks->close();
        waits.close();
        h.test_loop.run_until([&] { return h.frontend().is_drained(); });
    }
}

TEST_CASE(
    "ending: who finds neither a seat nor a place in the lobby is told so if his request came with him") {
    for (const Protocol wire : all_protocols) {
        FrontendFixture h(wire, {}, 2);
        std::vector<std::unique_ptr<RawClient>> in_hand, lobby;
        for (int i = 0; i < 2; ++i) {
            in_hand.push_back(h.open_idle_connection());
            in_hand.back()->send(h.request());
        }
        h.test_loop.run_until([&] { return h.running_ids.size() == 2; });
        lobby.push_back(std::make_unique<RawClient>(h.frontend().port()));  // one source has one place in it
        h.test_loop.run_until([&] { return h.admitter.limiter().rejection_slots_in_use() == 1; }, true);
        RawClient asks(h.frontend().port()), silent(h.frontend().port());
        asks.send(h.request());  // it lies there before he is accepted
        h.test_loop.run_until([&] { return asks.is_over() && silent.is_over(); });
        INFO(asks.received);
        CHECK(asks.has_received(" 503 "));
        CHECK_FALSE(asks.was_reset);
        CHECK(silent.received.empty());
        CHECK_FALSE(silent.was_reset);
        CHECK(h.running_ids.size() == 2);
        h.finish_all();
        for (const auto& r : in_hand)
            h.test_loop.run_until([&] { return r->has_received("a whole map"); });
    }
}

TEST_CASE("ending: half a line and a connection that says nothing do not hold up the exit") {
    for (const Protocol wire : all_protocols) {
        frontend::Frontend::Limits limits;
        limits.request_timeout =
            Duration(60'000'000);  // longer than the way out: what ends the half line is the exit
        FrontendFixture h(wire, limits, 64, Duration(20'000'000));
        const std::string all = h.request();
        auto half = h.open_idle_connection(), silent = h.open_idle_connection(),
             asks = h.open_idle_connection();
        asks->send(all);
        h.test_loop.run_until([&] { return h.running_ids.size() == 1; });
        half->send(all.substr(0, 20));
        h.test_loop.loop.run_once(false);
        h.test_loop.loop.run_once(false);
        const Timestamp from = wall_clock_now();
        h.shutdown_coordinator.start_graceful_shutdown();
        // The way out begins half a second before the stop; that is brought about, not waited for.
        h.test_loop.timers.run_due(h.server.shutdown_deadline() - Duration(500'000));
        bool stopped = false;
        h.finish_all();
        h.expect_served(*asks);
        h.expect_clean_close(*silent);
        asks->close();
        silent->close();
        h.test_loop.run_until([&] {
            if (half->is_over())
                half->close();
            return stopped = h.frontend().is_drained();
        });
        CHECK(stopped);
        CHECK(h.frontend().closed_connections().incomplete_at_shutdown == 1);
        CHECK(half->received.empty());  // nothing is owed to half a line
        CHECK_FALSE(half->was_reset);
        CHECK(wall_clock_now() - from < Duration(5'000'000));
    }
}

TEST_CASE("ending: the rest of a half line that comes while others are waited for is answered") {
    for (const Protocol wire : all_protocols) {
        FrontendFixture h(wire);
        const std::string all = h.request();
        auto half = h.open_idle_connection(), asks = h.open_idle_connection();
        asks->send(all);
        half->send(all.substr(0, 20));
        h.test_loop.run_until([&] { return h.running_ids.size() == 1; });
        h.test_loop.loop.run_once(false);
        h.frontend().start_drain();
        half->send(all.substr(20));
        h.test_loop.run_until([&] { return h.running_ids.size() == 2; });
        h.finish_all();
        h.expect_served(*asks);
        h.expect_served(*half);
    }
}

TEST_CASE(
    "ending: a last answer larger than the system takes at once reaches a peer that has shut its side") {
    FrontendFixture h(Protocol::http, {}, 64, Duration(3'000'000), test_settings(), 8'192);
    auto r = h.open_idle_connection(4'096);
    r->send(h.request());
    h.test_loop.run_until([&] { return h.running_ids.size() == 1; });
    h.frontend().start_drain();
    const std::string large(240'000, 'm');
    for (const request::RequestId no : std::exchange(h.running_ids, {}))
        h.server.run_finished(no, request::RunResult::succeeded, large);
    r->half_close();  // behind its answer, of which most is still to be written
    for (int i = 0; i < 3; ++i)
        h.test_loop.loop.run_once(false);
    h.test_loop.run_until([&] { return r->is_over(); });
    CHECK_FALSE(r->was_reset);
    CHECK(r->received.size() > large.size());
}

TEST_CASE(
    "ending: what is malformed, cut short or floods behind its last answer is counted, and its end is "
    "bounded") {
    for (const Protocol wire : all_protocols) {
        FrontendFixture h(wire);
        auto odd = h.open_idle_connection(), cut = h.open_idle_connection(),
             floods = h.open_idle_connection();
        odd->send("x:\r\n\r\n");
        cut->send(h.request().substr(0, 20));
        cut->half_close();
        floods->send(h.request());
        h.test_loop.run_until([&] { return h.running_ids.size() == 1 && odd->is_over(); });
        CHECK(odd->has_received(" 400 "));
        CHECK(h.frontend().closed_connections().malformed_requests == 1);
        h.test_loop.run_until([&] { return cut->is_over(); });
        // An HTTP client that shuts its side in the middle has given up; over SCGI it is told.
        CHECK(cut->has_received(" 400 ") == (wire == Protocol::scgi));
        CHECK(h.frontend().closed_connections().truncated_requests == 1);
        h.frontend().start_drain();
        h.finish_all();
        const std::string part(64'000, 'x');
        h.test_loop.run_until(
            [&] {
                floods->try_send(part);
                return h.frontend().closed_connections().excess_input == 1;
            },
            false);
        CHECK(h.requests_read() == 1);
    }
}

TEST_CASE("ending: a connection's states are left forwards only") {
    frontend::ConnectionLifecycle l;
    CHECK(l.accepts_requests());
    CHECK(l.drain());
    CHECK((l.accepts_requests() && l.announces_close()));
    CHECK_FALSE(l.drain());
    CHECK(l.linger());
    CHECK_FALSE(l.accepts_requests());
    CHECK_FALSE((l.drain() || l.linger()));
    CHECK(l.close());
    CHECK_FALSE((l.linger() || l.close() || l.is_lingering()));
    CHECK(l.is_closed());
}

}  // namespace
