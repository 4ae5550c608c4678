// Idempotency: keys, repeated requests, and which runs and calls may be repeated.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(IdempotencyKeysTest, KeyIsRetainedForItsWindowFromArrival) {
    RecordingHost host(test_settings());
    host.request(1, 1, 0, 500ms);
    ASSERT_EQ(host.count<RetainKey>(1), 1);
    EXPECT_GE(host.last<RetainKey>()->duration, Duration(19500ms));
    EXPECT_LE(host.last<RetainKey>()->duration, Duration(19700ms));
}

TEST(IdempotencyKeysTest, RepeatOfARequestThatRanIsReplayed) {
    RecordingHost host(test_settings());
    host.request(1, 1);
    host.request(2, 1, 1);
    EXPECT_EQ(host.count<ReplayResult>(2), 1);
    host.send(RunFinished{1, Outcome::ok});
    host.send(RunFinished{2, Outcome::ok});
    host.request(3, 1, 1);
    EXPECT_EQ(host.count<ReplayResult>(3), 1);
    EXPECT_EQ(host.count<StartRun>(2) + host.count<StartRun>(3) + host.answer_count(2) + host.answer_count(3),
              0);
}

TEST(IdempotencyKeysTest, RepeatOfAQueuedRequestTakesItsPlace) {
    RecordingHost host(test_settings());
    for (RequestId id = 1; id <= 2; ++id)
        host.request(id, 2);
    host.request(3, 1);
    ASSERT_EQ(host.count<StartRun>(3), 0);
    host.request(4, 1, 3);
    EXPECT_EQ(host.count<RetainKey>(4), 1);
    EXPECT_EQ(host.count<Reject>(3), 1);
    EXPECT_EQ(host.count<ReleaseKey>(3), 0);  // the key now belongs to the repeat
    host.send(RunFinished{1, Outcome::ok});
    EXPECT_EQ(host.count<StartRun>(4), 1);
    EXPECT_EQ(host.count<StartRun>(3), 0);
}

TEST(IdempotencyKeysTest, RepeatOfARejectedRequestInTheSameBatchIsRun) {
    RecordingHost host(test_settings());
    host.request(1, 1, 0, 950ms);  // too late, so it is rejected
    ASSERT_EQ(host.count<Reject>(1), 1);
    host.request(2, 1, 1);
    EXPECT_EQ(host.count<ReplayResult>(2), 0);
    EXPECT_EQ(host.count<StartRun>(2), 1);
}

TEST(IdempotencyTest, CallThatMayHaveRunIsNotRetried) {
    for (const Outcome outcome : {Outcome::error, Outcome::timeout, Outcome::reset}) {
        RecordingHost host(test_settings());
        host.request(1, 2);
        host.send(DependencyCallRequested{1});
        host.send(DependencyCallFinished{1, outcome, 5ms});
        host.advance_until(1200ms);
        EXPECT_EQ(host.count<CallDependency>(1), 1);
        EXPECT_EQ(host.count<Fail>(1), 1);
        EXPECT_EQ(host.count<SkipDependencyCall>(1), 0);
    }
}

TEST(IdempotencyTest, CallProvenNotToHaveRunIsRetried) {
    for (const Outcome outcome : {Outcome::rejected, Outcome::connect_failed}) {
        RecordingHost host(test_settings());
        host.request(1, 2);
        host.send(DependencyCallRequested{1});
        host.send(DependencyCallFinished{1, outcome, 5ms});
        host.advance_until(1200ms);
        EXPECT_EQ(host.count<CallDependency>(1), 2);
        EXPECT_EQ(host.answer_count(1), 0);
    }
}

TEST(IdempotencyTest, SuspendedRequestThatMayRunOnceIsNeverRunAgain) {
    RecordingHost host(test_settings());
    host.request(1, 2);
    host.advance_until(2010ms);
    host.send(RunFinished{1, Outcome::cancelled});
    host.advance_until(3s);
    EXPECT_EQ(host.count<StartRun>(1), 1);
    EXPECT_EQ(host.count<Reject>(1), 0);
}

TEST(IdempotencyTest, UnknownClassIsNeverRun) {
    RecordingHost host(test_settings());
    host.request(1, unknown_index);
    EXPECT_EQ(host.count<StartRun>(1), 0);
    EXPECT_EQ(host.count<Reject>(1), 1);
}

TEST(IdempotencyTest, ResultsAreSharedOnlyWithATtl) {
    Settings settings = test_settings();
    settings.result_ttl = 500ms;
    RecordingHost host(settings);
    RequestArrived arrival;
    arrival.id = 1;
    arrival.class_index = 0;
    arrival.reserved_kb = 20;
    arrival.has_key = true;
    host.send(arrival);
    EXPECT_EQ(host.count<RetainKey>(1), 1);
    RecordingHost host_without_ttl(test_settings());
    host_without_ttl.send(arrival);
    EXPECT_EQ(host_without_ttl.count<RetainKey>(1), 0);
}

}  // namespace
