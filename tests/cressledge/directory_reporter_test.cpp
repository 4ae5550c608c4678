// The directory reporter of a platform node: retries after failed reports.
#include "platform_fixture.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE(
    "DirectoryReporter: a report is retried within a second if the directory fails, closes or does not "
    "respond") {
    PlatformFixture fixture;
    const std::string report = "{\"mode\":\"open\"}";
    const Timestamp started_at = wall_clock_now();
    fixture.test_loop.run_until([&] { return fixture.directory.has_received(report); });
    fixture.directory.latest_peer().take_through(report);
    fixture.directory.latest_peer().send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
    fixture.test_loop.run_until([&] { return fixture.directory.has_received(report); });
    fixture.directory.latest_peer().close();
    // This report gets no response.
    fixture.test_loop.run_until(
        [&] { return fixture.directory.peers.size() == 2 && fixture.directory.has_received(report); });
    fixture.test_loop.run_until(
        [&] { return fixture.directory.peers.size() == 3 && fixture.directory.has_received(report); });
    CHECK(wall_clock_now() - started_at < Duration(3'000'000));
}

}  // namespace
