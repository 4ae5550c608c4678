// The idle timeout of connections.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(IdleTimeoutTest, FallsBesideAFullTableAndIdleCores) {  // ib91bfa, i82c4fc
    Settings s = test_settings();
    s.idle_timeout = 30s;
    s.caller_count = 900;
    RecordingHost h(s);
    h.advance_until(8s, 0.3, 0.0, 90.0);
    ASSERT_NE(h.last<SetIdleTimeout>(), nullptr);
    EXPECT_LT(h.last<SetIdleTimeout>()->timeout, 4s);
    EXPECT_GE(h.last<SetIdleTimeout>()->timeout, 990ms);  // never so short that each attempt needs a new one
    h.advance_until(70s, 0.3, 0.0, 5.0);
    EXPECT_GT(h.last<SetIdleTimeout>()->timeout, 20s);  // few are idle: they stay again
}

TEST(IdleTimeoutTest, StaysWhereAllCallersFit) {  // mixco in the small: handshakes that let nobody in
    Settings s = test_settings();
    s.idle_timeout = 30s;
    s.caller_count = 20;
    RecordingHost h(s);
    h.advance_until(8s, 0.3, 0.0, 19.0);
    EXPECT_EQ(h.last<SetIdleTimeout>(), nullptr);
}

TEST(IdleTimeoutTest, RisesInAStormOfNewConnectionsUpToTheTurnover) {
    Settings s = test_settings();
    s.idle_timeout = 30s;
    s.caller_count = 900;
    RecordingHost h(s);
    h.advance_until(8s, 0.3, 0.0, 90.0);
    const Duration before = h.last<SetIdleTimeout>()->timeout;
    h.advance_until(10s, 1.0, 12.0, 90.0);  // no own run is on the cores: all that is others' work
    EXPECT_GT(h.last<SetIdleTimeout>()->timeout, 2 * before);
    EXPECT_LE(h.last<SetIdleTimeout>()->timeout, 10s);  // 90 connections at a dozen completions a second
}

TEST(IdleTimeoutTest, NotSetWithoutTheGaugesOrTheSetting) {
    Settings s = test_settings();
    RecordingHost without(s);
    without.advance_until(8s, 0.3, 0.0, 90.0);
    EXPECT_EQ(without.last<SetIdleTimeout>(), nullptr);
    s.idle_timeout = 30s;
    RecordingHost blind(s);
    blind.advance_until(8s, 0.3);
    EXPECT_EQ(blind.last<SetIdleTimeout>(), nullptr);
}

}  // namespace
