// The idle timeout of connections.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(IdleTimeoutTest, FallsWithAFullTableAndIdleCores) {
    Settings settings = test_settings();
    settings.idle_timeout = 30s;
    settings.caller_count = 900;
    RecordingHost host(settings);
    host.advance_until(8s, 0.3, 0.0, 90.0);
    ASSERT_NE(host.last<SetIdleTimeout>(), nullptr);
    EXPECT_LT(host.last<SetIdleTimeout>()->timeout, 4s);
    // Never so short that each attempt needs a new connection.
    EXPECT_GE(host.last<SetIdleTimeout>()->timeout, 990ms);
    host.advance_until(70s, 0.3, 0.0, 5.0);
    EXPECT_GT(host.last<SetIdleTimeout>()->timeout,
              20s);  // few connections are idle, so they may stay longer
}

// Guards against handshakes that admit no further caller.
TEST(IdleTimeoutTest, StaysIfAllCallersFit) {
    Settings settings = test_settings();
    settings.idle_timeout = 30s;
    settings.caller_count = 20;
    RecordingHost host(settings);
    host.advance_until(8s, 0.3, 0.0, 19.0);
    EXPECT_EQ(host.last<SetIdleTimeout>(), nullptr);
}

TEST(IdleTimeoutTest, RisesInAStormOfNewConnectionsUpToTheTurnover) {
    Settings settings = test_settings();
    settings.idle_timeout = 30s;
    settings.caller_count = 900;
    RecordingHost host(settings);
    host.advance_until(8s, 0.3, 0.0, 90.0);
    const Duration before = host.last<SetIdleTimeout>()->timeout;
    host.advance_until(10s, 1.0, 12.0,
                       90.0);  // no run is on the cores, so all runnable threads are other work
    EXPECT_GT(host.last<SetIdleTimeout>()->timeout, 2 * before);
    EXPECT_LE(host.last<SetIdleTimeout>()->timeout,
              10s);  // 90 connections at about twelve completions per second
}

TEST(IdleTimeoutTest, NotSetWithoutTheGaugesOrTheSetting) {
    Settings settings = test_settings();
    RecordingHost host_without_setting(settings);
    host_without_setting.advance_until(8s, 0.3, 0.0, 90.0);
    EXPECT_EQ(host_without_setting.last<SetIdleTimeout>(), nullptr);
    settings.idle_timeout = 30s;
    RecordingHost without_gauges(settings);
    without_gauges.advance_until(8s, 0.3);
    EXPECT_EQ(without_gauges.last<SetIdleTimeout>(), nullptr);
}

}  // namespace
