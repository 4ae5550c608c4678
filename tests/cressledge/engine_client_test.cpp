// The engine client of a platform node: commands, notices, and recovery from a broken link.
#include "platform_fixture.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE("EngineClient: a cancelled request halts its run") {
    PlatformFixture fixture;
    auto caller = fixture.connect_caller();
    const std::string run = fixture.start_run(*caller, "route-profile", "x");
    caller->close();
    fixture.test_loop.run_until([&] { return fixture.engine.has_received("HALT " + run + "\r\n"); });
    fixture.engine.latest_peer().send("DONE 1 " + run + " KILLED 3 0\r\n\r\n");
    auto other = fixture.connect_caller();
    fixture.start_run(*other, "route-profile", "y");
}

TEST_CASE("EngineClient: a broken link continues after the last notice and resends lost commands") {
    PlatformFixture fixture;
    auto first_caller = fixture.connect_caller(), second_caller = fixture.connect_caller();
    const std::string first_run = fixture.start_run(*first_caller, "route-profile", "x"),
                      second_run = fixture.start_run(*second_caller, "route-profile", "y");
    fixture.engine.latest_peer().send("NOTE 1 hello\r\nDONE 2 " + first_run + " PASS 1 3\r\none\r\n");
    fixture.expect_received(*first_caller, "one");
    fixture.engine.latest_peer().close();
    fixture.test_loop.run_until(
        [&] { return fixture.engine.peers.size() == 2 && fixture.engine.has_received("ATTACH 2\r\n"); });
    // The engine repeats a notice that the previous link delivered.
    fixture.engine.latest_peer().send("HELLO LOADED 9\r\nDONE 2 " + first_run + " FAIL 1 0\r\n\r\n");
    fixture.test_loop.run_until([&] { return fixture.engine.has_received("STAT s"); });
    // No command may be sent before all missed notices have been received.
    CHECK_FALSE(fixture.engine.has_received("RUN "));
    PlatformFixture::answer_gauges_query(fixture.test_loop, fixture.engine, " 0 0 0 0\r\n");
    fixture.test_loop.run_until(
        [&] { return fixture.engine.has_received("RUN " + second_run + " route-profile 1\r\ny\r\n"); });
    CHECK_FALSE(fixture.engine.has_received("RUN " + first_run));
    fixture.engine.latest_peer().send("DONE 3 " + second_run + " PASS 1 3\r\ntwo\r\n");
    fixture.expect_received(*second_caller, "two");
}

TEST_CASE("EngineClient: a call reply sent before a break is resent only if no notice confirms it") {
    PlatformFixture fixture;
    auto first_caller = fixture.connect_caller(), second_caller = fixture.connect_caller();
    const std::string first_run = fixture.start_run(*first_caller, "trail-sheet", "x"),
                      second_run = fixture.start_run(*second_caller, "trail-sheet", "y");
    fixture.engine.latest_peer().send("NEED 1 " + first_run + " 1\r\np\r\nNEED 2 " + second_run +
                                      " 1\r\nq\r\n");
    fixture.test_loop.run_until(
        [&] { return fixture.records.peers.size() == 2 && fixture.records.has_received("q\r\n"); });
    fixture.records.peers[0]->send(first_run + " DONE 1\r\na\r\n");
    fixture.records.peers[1]->send(second_run + " DONE 1\r\nb\r\n");
    fixture.test_loop.run_until([&] {
        return fixture.engine.has_received("FEED " + first_run) &&
               fixture.engine.has_received("FEED " + second_run);
    });
    fixture.engine.latest_peer().close();
    fixture.test_loop.run_until(
        [&] { return fixture.engine.peers.size() == 2 && fixture.engine.has_received("ATTACH 2\r\n"); });
    fixture.synchronize_engine();
    // A further call confirms that the first run has received its reply.
    fixture.engine.latest_peer().send("NEED 3 " + first_run + " 1\r\nr\r\n");
    fixture.answer_barriers_until(
        [&] { return fixture.engine.has_received("FEED " + second_run + " 1\r\nb\r\n"); });
    CHECK_FALSE(fixture.engine.has_received("FEED " + first_run));
}

// Guards against a reply that reaches the run's next call: a run at work between two calls sends no notice, so that a
// reply that it has got must not be sent again for want of one.
TEST_CASE("EngineClient: a call reply that the engine has executed is not resent") {
    PlatformFixture fixture;
    auto caller = fixture.connect_caller();
    const std::string run = fixture.start_run_with_call_reply(*caller);
    const Timestamp executed_at = wall_clock_now() + Duration(20'000);
    fixture.answer_barriers_until([&] { return wall_clock_now() >= executed_at; });
    fixture.reconnect_engine();
    const Timestamp until = wall_clock_now() + Duration(400'000);
    fixture.answer_barriers_until([&] { return wall_clock_now() >= until; });
    CHECK_FALSE(fixture.engine.has_received("FEED "));
    // The reply to the next call arrives as usual.
    fixture.engine.latest_peer().send("NEED 2 " + run + " 1\r\nq\r\n");
    fixture.test_loop.run_until([&] { return fixture.records.has_received("q\r\n"); });
    fixture.records.latest_peer().send(run + " DONE 1\r\nb\r\n");
    fixture.test_loop.run_until([&] { return fixture.engine.has_received("FEED " + run + " 1\r\nb\r\n"); });
}

// Guards against the same while the notice of the next call is on its way.
TEST_CASE("EngineClient: a call reply is not resent while a part of a notice has arrived") {
    PlatformFixture fixture;
    auto caller = fixture.connect_caller();
    const std::string run = fixture.start_run_with_call_reply(*caller);
    fixture.reconnect_engine();
    fixture.test_loop.run_until([&] { return fixture.engine.has_received("STAT b"); });
    fixture.answer_barrier("NEED 2 " + run);
    const Timestamp until = wall_clock_now() + Duration(300'000);
    fixture.run_for(until - wall_clock_now());
    CHECK_FALSE(fixture.engine.has_received("FEED "));
    fixture.engine.latest_peer().send(" 1\r\nq\r\n");
    fixture.test_loop.run_until([&] { return fixture.records.has_received("q\r\n"); });
    const Timestamp end = wall_clock_now() + Duration(100'000);
    fixture.answer_barriers_until([&] { return wall_clock_now() >= end; });
    CHECK_FALSE(fixture.engine.has_received("FEED "));
}

TEST_CASE("EngineClient: a call reply is not resent on the word of a barrier that took long") {
    PlatformFixture fixture;
    auto caller = fixture.connect_caller();
    const std::string run = fixture.start_run_with_call_reply(*caller);
    fixture.reconnect_engine();
    fixture.test_loop.run_until([&] { return fixture.engine.has_received("STAT b"); });
    fixture.run_for(Duration(30'000));
    fixture.answer_barrier();
    // Another barrier follows; the reply is sent again if that one is quick.
    fixture.test_loop.run_until([&] { return fixture.engine.has_received("STAT b"); });
    CHECK_FALSE(fixture.engine.has_received("FEED "));
    fixture.answer_barriers_until([&] { return fixture.engine.has_received("FEED " + run); });
}

// The reverse: the engine may lose the commands of the last 50 ms before a break.
TEST_CASE("EngineClient: a call reply lost with its link is resent once") {
    PlatformFixture fixture;
    auto caller = fixture.connect_caller();
    const std::string run = fixture.start_run_with_call_reply(*caller);
    fixture.reconnect_engine();
    fixture.answer_barriers_until([&] { return fixture.engine.has_received("FEED " + run + " 1\r\na\r\n"); });
    fixture.engine.latest_peer().take_through("FEED " + run);
    const Timestamp until = wall_clock_now() + Duration(300'000);
    fixture.answer_barriers_until([&] { return wall_clock_now() >= until; });
    CHECK_FALSE(fixture.engine.has_received("FEED "));
    fixture.engine.latest_peer().send("DONE 2 " + run + " PASS 1 3\r\nend\r\n");
    fixture.expect_received(*caller, "end");
}

TEST_CASE("EngineClient: a call reply that arrives without a link is sent at once on the next") {
    PlatformFixture fixture;
    auto caller = fixture.connect_caller();
    const std::string run = fixture.start_run(*caller, "trail-sheet", "x");
    fixture.engine.latest_peer().send("NEED 1 " + run + " 1\r\np\r\n");
    fixture.test_loop.run_until([&] { return fixture.records.has_received("p\r\n"); });
    fixture.engine.latest_peer().close();
    fixture.test_loop.run_until([&] { return fixture.engine.has_received("ATTACH 1\r\n"); });
    fixture.records.latest_peer().send(run + " DONE 1\r\na\r\n");
    fixture.run_for(Duration(20'000));
    CHECK_FALSE(fixture.engine.has_received("FEED "));
    fixture.synchronize_engine();
    fixture.test_loop.run_until([&] { return fixture.engine.has_received("FEED " + run + " 1\r\na\r\n"); });
}

TEST_CASE(
    "EngineClient: health checks fail until a late engine is up, and directory reports are sent meanwhile") {
    PlatformFixture fixture({.engine_is_up = false});
    const auto health_status = [&] {
        auto caller = fixture.connect_caller();
        caller->send("GET /healthz HTTP/1.1\r\n\r\n");
        fixture.expect_received(*caller, "\r\n\r\n");
        return caller->received.substr(9, 3);
    };
    CHECK(health_status() == "503");
    fixture.test_loop.run_until([&] { return fixture.directory.has_received("{\"mode\":\"open\"}"); });
    fixture.synchronize_engine();
    CHECK(health_status() == "200");
}

}  // namespace
