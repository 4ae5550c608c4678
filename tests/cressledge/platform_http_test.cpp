// Tests of HTTP requests to a platform node: parsing, limits and responses.
#include "platform_fixture.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE("PlatformNode: a run's dependency call and result are passed on byte for byte") {
    PlatformFixture fixture;
    auto caller = fixture.connect_caller();
    const std::string body = binary_literal("\0\r\n\xff sheet"), result = binary_literal("\r\nDONE 9\0\xfe");
    const std::string run = fixture.start_run(*caller, "trail-sheet", body);
    const std::string call = binary_literal("que\r\nry"), reply = binary_literal("a\0\r\nb");
    fixture.engine.latest_peer().send("NEED 1 " + run + " 7\r\n" + call + "\r\n");
    fixture.test_loop.run_until([&] {
        return fixture.records.has_received("OP " + run) &&
               fixture.records.has_received(" 7\r\n" + call + "\r\n");
    });
    // A reply to another request, and a split reply.
    fixture.records.latest_peer().send("ffffffffffffffff WAIT\r\n" + run + " DO");
    fixture.records.latest_peer().send("NE 5\r\n" + reply + "\r\n");
    fixture.test_loop.run_until(
        [&] { return fixture.engine.has_received("FEED " + run + " 5\r\n" + reply + "\r\n"); });
    fixture.engine.latest_peer().send("DONE 2 " + run + " PASS 12.5 10\r\n" + result + "\r\n");
    fixture.expect_received(*caller, "Content-Length: 10\r\n\r\n" + result);
    CHECK(caller->received.rfind("HTTP/1.1 200 ", 0) == 0);
}

TEST_CASE(
    "HTTP session: split and coalesced requests are answered in order on a connection that stays open") {
    PlatformFixture fixture;
    auto caller = fixture.connect_caller();
    const std::string first_request = fixture.make_request("route-profile", "ab"),
                      second_request = fixture.make_request("route-profile", "cd");
    caller->send(first_request.substr(0, 9));
    fixture.test_loop.loop.run_once(false);
    caller->send(first_request.substr(9) + second_request);
    fixture.test_loop.run_until(
        [&] { return fixture.engine.has_received("RUN " + PlatformFixture::request_name(1)); });
    CHECK_FALSE(fixture.engine.has_received("RUN " + PlatformFixture::request_name(2)));
    fixture.engine.latest_peer().send("DONE 1 " + PlatformFixture::request_name(1) + " PASS 1 1\r\nx\r\n");
    fixture.test_loop.run_until(
        [&] { return fixture.engine.has_received("RUN " + PlatformFixture::request_name(2)); });
    fixture.engine.latest_peer().send("DONE 2 " + PlatformFixture::request_name(2) + " FAIL 1 0\r\n\r\n");
    fixture.expect_received(*caller, "HTTP/1.1 500");
    CHECK(caller->has_received("HTTP/1.1 200"));
    caller->take_through("HTTP/1.1 500");
    caller->send("GET /healthz?probe=1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    fixture.expect_received(*caller, "HTTP/1.1 200 OK");
    fixture.test_loop.run_until([&] { return caller->is_closed; });
}

TEST_CASE(
    "HTTP session: malformed requests get the status of their error and do not delay other connections") {
    PlatformFixture fixture;
    auto incomplete = fixture.connect_caller();
    // The request is never completed.
    incomplete->send("POST /v1/trail-sheet HTTP/1.1\r\nTrace-");
    const auto status_of = [&](const std::string& bytes) {
        auto caller = fixture.connect_caller();
        caller->send(bytes);
        fixture.expect_received(*caller, "\r\n\r\n");
        return caller->received.substr(9, 3);
    };
    CHECK(status_of("NONSENSE\r\n\r\n") == "400");
    CHECK(status_of(fixture.make_request("no-such-class", "x")) == "404");
    CHECK(status_of(fixture.make_request("trail-sheet", "x", "Standing: 7\r\n")) == "400");
    CHECK(status_of("POST /v1/trail-sheet HTTP/1.1\r\nContent-Length: 0\r\n\r\n") == "400");
    CHECK(status_of(fixture.make_request("trail-sheet", std::string(2049, 'x')).substr(0, 260)) == "413");
    CHECK(status_of("POST /v1/trail-sheet HTTP/1.1\r\nX: " + std::string(9000, 'x')) == "400");
    CHECK(status_of("GET /v1/trail-sheet HTTP/1.1\r\n\r\n") == "405");
    CHECK(status_of("\r\nGET /healthz HTTP/1.1\r\n\r\n") == "200");
    auto caller = fixture.connect_caller();
    fixture.start_run(*caller, "trail-sheet", "still here");
}

TEST_CASE(
    "ConnectionLimiter: a full table evicts the longest idle connection and none with a request in flight") {
    PlatformFixture fixture;
    std::vector<std::unique_ptr<StreamPeer>> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(fixture.connect_caller());
        if (i == 0) {
            fixture.start_run(*callers[0], "trail-sheet", "in hand");
            continue;
        }
        callers.back()->send("GET /healthz HTTP/1.1\r\n\r\n");
        fixture.expect_received(*callers.back(), "200 OK");
    }
    // callers[2] has now been idle longest.
    callers[1]->take_through("200 OK");
    callers[1]->send("GET /healthz HTTP/1.1\r\n\r\n");
    fixture.expect_received(*callers[1], "200 OK");
    auto late_caller = fixture.connect_caller();
    late_caller->send("GET /healthz HTTP/1.1\r\n\r\n");
    fixture.expect_received(*late_caller, "200 OK");
    fixture.test_loop.run_until([&] { return callers[2]->is_closed; });
    for (const int index : {0, 1, 3, 11})
        CHECK_FALSE(callers[static_cast<std::size_t>(index)]->is_closed);
    // Silent connections are evicted before idle ones, once a well-behaved caller would have sent a request.
    std::vector<std::unique_ptr<StreamPeer>> silent_callers;
    for (int i = 0; i < 9; ++i)
        silent_callers.push_back(fixture.connect_caller());
    bool waited = false;
    fixture.test_loop.timers.schedule_detached(wall_clock_now() + Duration(400'000), [&] { waited = true; });
    fixture.test_loop.run_until([&] { return waited; });
    auto usual_caller = fixture.connect_caller();
    usual_caller->send("GET /healthz HTTP/1.1\r\n\r\n");
    fixture.expect_received(*usual_caller, "200 OK");
    fixture.test_loop.run_until([&] { return silent_callers[0]->is_closed; });
    CHECK_FALSE(callers[0]->is_closed);
}

TEST_CASE("HTTP session: a silent connection or endless request is answered or closed within three seconds") {
    PlatformFixture fixture;
    auto silent = fixture.connect_caller(), incomplete = fixture.connect_caller(),
         endless = fixture.connect_caller(), empty_lines = fixture.connect_caller(),
         idle = fixture.connect_caller();
    const Timestamp started_at = wall_clock_now();
    incomplete->send("POST /v1/trail-sheet HTTP/1.1\r\nTrace-");
    endless->send("POST /v1/trail-sheet HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" +
                  std::string(40'000, 'x'));
    empty_lines->send(std::string(40'000, '\n'));
    idle->send("GET /healthz HTTP/1.1\r\n\r\n");
    fixture.expect_received(*endless, "HTTP/1.1 400");
    fixture.expect_received(*empty_lines, "HTTP/1.1 400");
    fixture.expect_received(*incomplete, "HTTP/1.1 408");
    fixture.test_loop.run_until([&] { return silent->is_closed; });
    CHECK(silent->received.empty());
    CHECK(wall_clock_now() - started_at < Duration(3'000'000));
    CHECK_FALSE(idle->is_closed);
    auto large = fixture.connect_caller();
    large->send("POST /v1/trail-sheet HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
    fixture.expect_received(*large, "HTTP/1.1 413");
    const std::string excess_bytes(200'000, 'x');
    // The caller keeps sending after the rejection.
    while (!large->is_closed && wall_clock_now() - started_at < Duration(6'000'000)) {
        if (large->stream != nullptr)
            large->stream->write(excess_bytes);
        fixture.test_loop.loop.run_once(false);
    }
    CHECK(large->is_closed);
    CHECK(wall_clock_now() - started_at < Duration(6'000'000));
}

TEST_CASE("HTTP session: a body of ambiguous length is rejected with all bytes after it") {
    PlatformFixture fixture;
    const std::string hidden_request = fixture.make_request("trail-sheet", "hidden");
    const std::string head =
        "POST /v1/trail-sheet HTTP/1.1\r\nTrace-Id: 00000000000000ee\r\nAccepted-At-Ms: " +
        std::to_string(wall_clock_now().count() / 1000) + "\r\nReserve-Kb: 4\r\n";
    const std::string ambiguous_headers[] = {
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: 5\r\n",
        "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length: -5\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 0x5\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Connection: Upgrade\r\nUpgrade: maps\r\n",
    };
    for (const std::string& headers : ambiguous_headers) {
        INFO(headers);
        auto caller = fixture.connect_caller();
        caller->send(head + headers + "\r\n0\r\n\r\n" + hidden_request);
        fixture.test_loop.run_until([&] { return caller->is_closed; });
        CHECK(caller->received.rfind("HTTP/1.1 400", 0) == 0);
        CHECK(caller->received.find("HTTP/1.1", 1) == std::string::npos);
    }
    for (const std::string invalid_header :
         {"Standing:", "Standing: 1", "Expected-Ms: nan", "Client-No: -1", "Lookup-Key: 7"}) {
        INFO(invalid_header);
        auto caller = fixture.connect_caller();
        caller->send(fixture.make_request("trail-sheet", "x", invalid_header + "\r\n"));
        fixture.expect_received(*caller, "HTTP/1.1 400");
    }
    CHECK_FALSE(fixture.engine.has_received("RUN "));
}

TEST_CASE("PlatformNode: a request with the id of an open request is rejected, and the first is served") {
    PlatformFixture fixture;
    auto caller = fixture.connect_caller(), other_caller = fixture.connect_caller();
    const std::string run = fixture.start_run(*caller, "trail-sheet", "mine");
    // The next request gets the same id.
    --fixture.request_count;
    other_caller->send(fixture.make_request("trail-sheet", "other"));
    fixture.expect_received(*other_caller, "HTTP/1.1 400");
    fixture.engine.latest_peer().send("DONE 1 " + run + " PASS 1 1\r\nx\r\n");
    fixture.expect_received(*caller, "HTTP/1.1 200");
    // The engine refuses this run.
    auto third_caller = fixture.connect_caller();
    const std::string rejected_run = fixture.start_run(*third_caller, "trail-sheet", "x");
    fixture.engine.latest_peer().send("NO RUN " + rejected_run + "\r\n");
    fixture.expect_received(*third_caller, "HTTP/1.1 500");
}

}  // namespace
