// The records client of a platform node: connections, and malformed or duplicate replies.
#include "platform_fixture.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE("RecordsClient: a write is retried after a refused connection and never after a broken one") {
    PlatformFixture fixture;
    auto caller = fixture.connect_caller();
    const std::string run = fixture.start_run(*caller, "map-order", "pay");
    const int port = fixture.records.port();
    fixture.records.listener->close();
    take_log();
    fixture.engine.latest_peer().send("NEED 1 " + run + " 1\r\nq\r\n");
    fixture.test_loop.run_until(
        [] { return take_log().find("records: connection refused") != std::string::npos; });
    fixture.records.listen(fixture.test_loop.loop, port);
    fixture.test_loop.run_until([&] { return fixture.records.has_received("OP " + run); });
    fixture.records.latest_peer().close();
    fixture.expect_received(*caller, "HTTP/1.1 500");
    CHECK(fixture.records.peers.size() == 1);
}

TEST_CASE("RecordsClient: the call of a cancelled request is abandoned once its run ends") {
    PlatformFixture fixture;
    auto caller = fixture.connect_caller();
    const std::string run = fixture.start_run(*caller, "map-order", "x");
    fixture.engine.latest_peer().send("NEED 1 " + run + " 1\r\nq\r\n");
    fixture.test_loop.run_until([&] { return fixture.records.has_received("OP " + run); });
    caller->close();
    fixture.engine.latest_peer().send("DONE 2 " + run + " KILLED 3 0\r\n\r\n");
    fixture.test_loop.run_until([&] { return fixture.records.latest_peer().is_closed; });
}

// Guards against a process that answers nobody, and against calls for runs that are over: the end of the call is read
// after its caller's close and before the end of its run.
TEST_CASE("RecordsClient: a call that fails after its caller has left is not made again") {
    for (const std::string& class_name : {std::string("trail-sheet"), std::string("map-order")})
        for (const std::string& reply :
             {std::string(" PAST\r\n"), std::string(" ERROR\r\n"), std::string(" EMPTY\r\n"),
              std::string(" WAIT\r\n"), std::string("(connection closed)")}) {
            INFO(class_name << reply);
            PlatformFixture fixture;
            auto leaving_caller = fixture.connect_caller(), waiting_caller = fixture.connect_caller();
            const std::string run = fixture.start_run(*leaving_caller, class_name, "x");
            fixture.engine.latest_peer().send("NEED 1 " + run + " 1\r\nq\r\n");
            fixture.test_loop.run_until([&] { return fixture.records.has_received("OP " + run); });
            leaving_caller->close();
            fixture.run_for(Duration(20'000));
            take_log();
            if (reply[0] == '(')
                fixture.records.latest_peer().close();
            else
                fixture.records.latest_peer().send(run + reply);
            const Timestamp failed_at = wall_clock_now();
            const std::string other_run = fixture.start_run(*waiting_caller, "route-profile", "y");
            fixture.engine.latest_peer().send("DONE 2 " + other_run + " PASS 1 1\r\nz\r\n");
            fixture.expect_received(*waiting_caller, "HTTP/1.1 200");
            fixture.run_for(Duration(150'000));  // longer than the delay before a call is retried
            CHECK(wall_clock_now() - failed_at < Duration(1'000'000));
            CHECK(take_log().find("answered=true") != std::string::npos);
            REQUIRE(fixture.records.peers.size() == 1);
            const std::string& received = fixture.records.latest_peer().received;
            CHECK(received.find("OP ") == received.rfind("OP "));
        }
}

TEST_CASE("RecordsClient: a malformed reply fails its own call only and closes its connection") {
    const std::string malformed_replies[] = {"% DONE",     " DONE 3000000000\r\nxx", " DONE 2\r\nabcd\r\n",
                                             " WHAT\r\n",  " DONE -1\r\n",           " DONE\r\n",
                                             " WAIT 3\r\n"};
    for (const std::string& reply : malformed_replies) {
        INFO(reply);
        PlatformFixture fixture;
        auto first_caller = fixture.connect_caller(), second_caller = fixture.connect_caller();
        const std::string first_run = fixture.start_run(*first_caller, "map-order", "x"),
                          second_run = fixture.start_run(*second_caller, "map-order", "y");
        fixture.engine.latest_peer().send("NEED 1 " + first_run + " 1\r\np\r\nNEED 2 " + second_run +
                                          " 1\r\nq\r\n");
        fixture.test_loop.run_until([&] {
            return fixture.records.peers.size() == 2 && fixture.records.peers[0]->has_received("p\r\n") &&
                   fixture.records.has_received("q\r\n");
        });
        fixture.records.peers[0]->send(reply[0] == '%' ? std::string(2000, '%') : first_run + reply);
        fixture.expect_received(*first_caller, "HTTP/1.1 500");
        fixture.test_loop.run_until([&] { return fixture.records.peers[0]->is_closed; });
        fixture.records.peers[1]->send(second_run + " DONE 1\r\nr\r\n");
        fixture.test_loop.run_until(
            [&] { return fixture.engine.has_received("FEED " + second_run + " 1\r\nr\r\n"); });
        // The write is not retried.
        CHECK(fixture.records.peers.size() == 2);
    }
}

TEST_CASE("RecordsClient: an idle connection is closed soon and not reused") {
    PlatformFixture fixture;
    auto first_caller = fixture.connect_caller(), second_caller = fixture.connect_caller();
    const std::string first_run = fixture.start_run(*first_caller, "trail-sheet", "x"),
                      second_run = fixture.start_run(*second_caller, "map-order", "y");
    fixture.engine.latest_peer().send("NEED 1 " + first_run + " 1\r\np\r\n");
    fixture.test_loop.run_until([&] { return fixture.records.has_received("p\r\n"); });
    fixture.records.latest_peer().send(first_run + " DONE 1\r\na\r\n");
    const Timestamp idle_since = wall_clock_now();
    fixture.test_loop.run_until([&] { return fixture.records.latest_peer().is_closed; });
    CHECK(wall_clock_now() - idle_since < Duration(600'000));
    fixture.engine.latest_peer().send("NEED 2 " + second_run + " 1\r\nq\r\n");
    fixture.test_loop.run_until(
        [&] { return fixture.records.peers.size() == 2 && fixture.records.has_received("q\r\n"); });
}

TEST_CASE("RecordsClient: a duplicate reply is never taken for the reply to the next call of its run") {
    PlatformFixture fixture;
    auto first_caller = fixture.connect_caller(), second_caller = fixture.connect_caller();
    const std::string first_run = fixture.start_run(*first_caller, "trail-sheet", "x"),
                      second_run = fixture.start_run(*second_caller, "trail-sheet", "y");
    fixture.engine.latest_peer().send("NEED 1 " + first_run + " 1\r\np\r\n");
    fixture.test_loop.run_until([&] { return fixture.records.has_received("p\r\n"); });
    fixture.records.latest_peer().send("00000000000000aa DONE 1\r\nz\r\n" + first_run + " DONE 1\r\na\r\n");
    fixture.test_loop.run_until(
        [&] { return fixture.engine.has_received("FEED " + first_run + " 1\r\na\r\n"); });
    // The connection delivered an unexpected reply.
    fixture.test_loop.run_until([&] { return fixture.records.latest_peer().is_closed; });
    fixture.engine.latest_peer().send("NEED 2 " + second_run + " 1\r\nq\r\n");
    fixture.test_loop.run_until(
        [&] { return fixture.records.peers.size() == 2 && fixture.records.has_received("q\r\n"); });
    fixture.records.latest_peer().send(second_run + " DONE 1\r\nb\r\n");
    fixture.test_loop.run_until(
        [&] { return fixture.engine.has_received("FEED " + second_run + " 1\r\nb\r\n"); });
    // The connection that served this run before is still open, but must not be used.
    fixture.engine.latest_peer().send("NEED 3 " + second_run + " 1\r\nr\r\n");
    fixture.test_loop.run_until(
        [&] { return fixture.records.peers.size() == 3 && fixture.records.has_received("r\r\n"); });
    fixture.records.peers[1]->send(second_run + " DONE 1\r\nb\r\n");
    fixture.records.latest_peer().send(second_run + " DONE 1\r\nc\r\n");
    fixture.test_loop.run_until(
        [&] { return fixture.engine.has_received("FEED " + second_run + " 1\r\nc\r\n"); });
}

}  // namespace
