// The run queue: its order, the deadlines of queued and running requests, and preemption.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(RunQueueTest, HighestBandStartsFirst) {
    RecordingHost h(test_settings());
    h.advance_until(1200ms);
    for (RequestId id = 1; id <= 3; ++id)
        h.request(id, 0);  // two run, one waits
    h.request(9, 2);
    h.send(RunFinished{1, Outcome::ok});
    EXPECT_EQ(h.count<Take>(9), 1);
    EXPECT_EQ(h.count<Take>(3), 0);
}

TEST(RunQueueTest, NothingIsQueuedThatCannotMeetItsObjective) {
    RecordingHost h(test_settings());
    h.request(1, 0, 0, 950ms);  // nearly all of its time went by before it was read
    EXPECT_EQ(h.count<Reject>(1), 1);
}

TEST(RunQueueTest, WhatCannotStartInTimeIsRejectedAndNotStarted) {
    RecordingHost h(test_settings());
    for (RequestId id = 1; id <= 3; ++id)
        h.request(id, 2);
    ASSERT_EQ(h.count<Take>(3), 0);
    h.advance_until(1950ms);
    EXPECT_EQ(h.count<Reject>(3), 1);
    EXPECT_EQ(h.count<Take>(3), 0);
}

TEST(DeadlineTest, RunningWorkIsAnsweredByIt) {
    Settings s = test_settings();
    s.preemption = Preemption::none;
    RecordingHost h(s);
    h.request(1, 1);
    h.advance_until(5010ms);
    EXPECT_EQ(h.count<Fail>(1), 1);
    EXPECT_EQ(h.count<Suspend>(1), 0);
    h.send(RunFinished{1, Outcome::ok});
    EXPECT_EQ(h.answer_count(1), 1);
}

TEST(DeadlineTest, WorthlessWorkIsSuspendedWherePreemptionIsAllowed) {
    RecordingHost h(test_settings());
    h.request(1, 0);
    h.advance_until(2010ms);
    EXPECT_EQ(h.count<Fail>(1), 1);
    EXPECT_EQ(h.count<Suspend>(1), 1);
    EXPECT_EQ(h.count<Reject>(1), 0);
}

TEST(DeadlineTest, CallersOwnCounts) {
    Settings s = test_settings();
    s.preemption = Preemption::none;
    RecordingHost h(s);
    RequestArrived r;
    r.id = 1;
    r.class_index = 0;
    r.reserved_kb = 20;
    r.caller_deadline = Timestamp(1700ms);
    h.send(r);
    h.advance_until(1710ms);
    EXPECT_EQ(h.answer_count(1), 1);
}

TEST(DeadlineTest, CancelledRequestsGetNoAnswer) {
    RecordingHost h(test_settings());
    for (RequestId id = 1; id <= 3; ++id)
        h.request(id, 0);
    h.send(Cancelled{3});
    h.send(Cancelled{1});
    EXPECT_EQ(h.count<Suspend>(1), 1);
    h.advance_until(6s);
    EXPECT_EQ(h.answer_count(1), 0);
    EXPECT_EQ(h.answer_count(3), 0);
}

TEST(PreemptionTest, PauseIsRepeatedForWorkThatWaitedForADisk) {
    Settings s = test_settings();
    s.preemption = Preemption::pause;
    RecordingHost h(s);
    h.request(1, 0);
    ASSERT_EQ(h.count<Take>(1), 1);
    h.advance_until(h.now + 5s);
    EXPECT_EQ(h.answer_count(1), 1);
    EXPECT_GT(h.count<Suspend>(1), 2);  // each may find it at its disk
    h.send(RunFinished{1, Outcome::cancelled});
    const long halts = h.count<Suspend>(1);
    h.advance_until(h.now + 2s);
    EXPECT_EQ(h.count<Suspend>(1), halts);
}

}  // namespace
