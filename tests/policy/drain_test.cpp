// Draining before a graceful shutdown.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(DrainTest, NothingRunsThatCameLaterThanTheGrace) {
    RecordingHost h(test_settings());
    h.send(DrainStarted{h.now + 5s});
    h.advance_until(3100ms, 0.0);
    h.request(1, 0);
    EXPECT_EQ(h.count<Take>(1), 0);
    EXPECT_EQ(h.count<Reject>(1), 1);
}

TEST(DrainTest, AllRequestsAreAnsweredBeforeTheDeadline) {
    Settings s = test_settings();
    s.preemption = Preemption::none;
    RecordingHost h(s);
    for (RequestId id = 1; id <= 3; ++id)
        h.request(id, 1);
    h.send(DrainStarted{h.now + 800ms});
    h.advance_until(1800ms);
    for (RequestId id = 1; id <= 3; ++id)
        EXPECT_EQ(h.answer_count(id), 1) << id;
    EXPECT_FALSE(h.last<SetHealth>()->healthy);
}

// Found by the random run: what waited for the run it repeats, or at a call, was answered at its due time only.
TEST(DrainTest, WhatAwaitsAResultOrACallIsAnsweredBeforeTheDeadlineToo) {
    RecordingHost h(test_settings());
    h.request(1, 1);
    ASSERT_EQ(h.count<Take>(1), 1);
    h.request(5, 0);
    ASSERT_EQ(h.count<Take>(5), 1);
    const Timestamp stop = h.now + 500ms;
    h.send(DrainStarted{stop});
    h.request(2, 1, 1);  // repeats the one that runs
    EXPECT_EQ(h.count<ReplayResult>(2), 1);
    h.send(DependencyCallRequested{5});
    h.advance_until(stop - 50ms);
    EXPECT_EQ(h.answer_count(1), 1);
    EXPECT_EQ(h.answer_count(2), 1);
    EXPECT_EQ(h.answer_count(5), 1);
}

TEST(DrainTest, ASecondNoticeDoesNotRenewTheGrace) {
    RecordingHost h(test_settings());
    h.advance_until(1200ms);
    h.send(DrainStarted{h.now + 20s});
    h.advance_until(h.now + 1500ms);
    h.send(DrainStarted{h.now + 20s});
    h.advance_until(h.now + 1s);
    h.request(1, 0);
    EXPECT_EQ(h.count<Reject>(1), 1);  // 2.5 s after the first notice, at a grace of 2 s
}

}  // namespace
