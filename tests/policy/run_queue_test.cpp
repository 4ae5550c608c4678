// The run queue: order, deadlines of queued and running requests, and preemption.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(RunQueueTest, HighestBandStartsFirst) {
    RecordingHost host(test_settings());
    host.advance_until(1200ms);
    for (RequestId id = 1; id <= 3; ++id)
        host.request(id, 0);  // two run, one waits
    host.request(9, 2);
    host.send(RunFinished{1, Outcome::ok});
    EXPECT_EQ(host.count<StartRun>(9), 1);
    EXPECT_EQ(host.count<StartRun>(3), 0);
}

TEST(RunQueueTest, RequestsThatCannotMeetTheirObjectiveAreRejected) {
    RecordingHost host(test_settings());
    host.request(1, 0, 0, 950ms);  // nearly all of its time has passed before it was read
    EXPECT_EQ(host.count<Reject>(1), 1);
}

TEST(RunQueueTest, RequestsThatCannotStartInTimeAreRejected) {
    RecordingHost host(test_settings());
    for (RequestId id = 1; id <= 3; ++id)
        host.request(id, 2);
    ASSERT_EQ(host.count<StartRun>(3), 0);
    host.advance_until(1950ms);
    EXPECT_EQ(host.count<Reject>(3), 1);
    EXPECT_EQ(host.count<StartRun>(3), 0);
}

TEST(DeadlineTest, RunningRequestsAreAnsweredByTheDeadline) {
    Settings settings = test_settings();
    settings.preemption = Preemption::none;
    RecordingHost host(settings);
    host.request(1, 1);
    host.advance_until(5010ms);
    EXPECT_EQ(host.count<Fail>(1), 1);
    EXPECT_EQ(host.count<Suspend>(1), 0);
    host.send(RunFinished{1, Outcome::ok});
    EXPECT_EQ(host.answer_count(1), 1);
}

TEST(DeadlineTest, RunsWithoutValueAreSuspendedIfPreemptionIsAllowed) {
    RecordingHost host(test_settings());
    host.request(1, 0);
    host.advance_until(2010ms);
    EXPECT_EQ(host.count<Fail>(1), 1);
    EXPECT_EQ(host.count<Suspend>(1), 1);
    EXPECT_EQ(host.count<Reject>(1), 0);
}

TEST(DeadlineTest, CallerDeadlineApplies) {
    Settings settings = test_settings();
    settings.preemption = Preemption::none;
    RecordingHost host(settings);
    RequestArrived arrival;
    arrival.id = 1;
    arrival.class_index = 0;
    arrival.reserved_kb = 20;
    arrival.caller_deadline = Timestamp(1700ms);
    host.send(arrival);
    host.advance_until(1710ms);
    EXPECT_EQ(host.answer_count(1), 1);
}

TEST(DeadlineTest, CancelledRequestsGetNoAnswer) {
    RecordingHost host(test_settings());
    for (RequestId id = 1; id <= 3; ++id)
        host.request(id, 0);
    host.send(Cancelled{3});
    host.send(Cancelled{1});
    EXPECT_EQ(host.count<Suspend>(1), 1);
    host.advance_until(6s);
    EXPECT_EQ(host.answer_count(1), 0);
    EXPECT_EQ(host.answer_count(3), 0);
}

TEST(PreemptionTest, PauseIsRepeatedForRunsThatWaitForADisk) {
    Settings settings = test_settings();
    settings.preemption = Preemption::pause;
    RecordingHost host(settings);
    host.request(1, 0);
    ASSERT_EQ(host.count<StartRun>(1), 1);
    host.advance_until(host.now + 5s);
    EXPECT_EQ(host.answer_count(1), 1);
    EXPECT_GT(host.count<Suspend>(1), 2);  // any of them may find the run waiting for a disk
    host.send(RunFinished{1, Outcome::cancelled});
    const long suspend_count = host.count<Suspend>(1);
    host.advance_until(host.now + 2s);
    EXPECT_EQ(host.count<Suspend>(1), suspend_count);
}

}  // namespace
