// Drain before a graceful shutdown.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(DrainTest, RequestsAfterTheGraceAreRejected) {
    RecordingHost host(test_settings());
    host.send(DrainStarted{host.now + 5s});
    host.advance_until(3100ms, 0.0);
    host.request(1, 0);
    EXPECT_EQ(host.count<StartRun>(1), 0);
    EXPECT_EQ(host.count<Reject>(1), 1);
}

TEST(DrainTest, AllRequestsAreAnsweredBeforeTheDeadline) {
    Settings settings = test_settings();
    settings.preemption = Preemption::none;
    RecordingHost host(settings);
    for (RequestId id = 1; id <= 3; ++id)
        host.request(id, 1);
    host.send(DrainStarted{host.now + 800ms});
    host.advance_until(1800ms);
    for (RequestId id = 1; id <= 3; ++id)
        EXPECT_EQ(host.answer_count(id), 1) << id;
    EXPECT_FALSE(host.last<SetHealth>()->healthy);
}

// Guards against requests that await a result or a call and are answered at their own deadline, after the drain
// deadline.
TEST(DrainTest, RequestsAwaitingAResultOrACallAreAnsweredBeforeTheDeadline) {
    RecordingHost host(test_settings());
    host.request(1, 1);
    ASSERT_EQ(host.count<StartRun>(1), 1);
    host.request(5, 0);
    ASSERT_EQ(host.count<StartRun>(5), 1);
    const Timestamp stop = host.now + 500ms;
    host.send(DrainStarted{stop});
    host.request(2, 1, 1);  // repeats the running request
    EXPECT_EQ(host.count<ReplayResult>(2), 1);
    host.send(DependencyCallRequested{5});
    host.advance_until(stop - 50ms);
    EXPECT_EQ(host.answer_count(1), 1);
    EXPECT_EQ(host.answer_count(2), 1);
    EXPECT_EQ(host.answer_count(5), 1);
}

TEST(DrainTest, ASecondNoticeDoesNotRenewTheGrace) {
    RecordingHost host(test_settings());
    host.advance_until(1200ms);
    host.send(DrainStarted{host.now + 20s});
    host.advance_until(host.now + 1500ms);
    host.send(DrainStarted{host.now + 20s});
    host.advance_until(host.now + 1s);
    host.request(1, 0);
    EXPECT_EQ(host.count<Reject>(1), 1);  // 2.5 s after the first notice, with a grace of 2 s
}

}  // namespace
