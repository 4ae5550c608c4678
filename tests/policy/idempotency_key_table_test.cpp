// Idempotency: keys and repeated requests, and what may be run or called again.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(IdempotencyKeysTest, KeyIsRetainedForItsWindowFromArrival) {
    RecordingHost h(test_settings());
    h.request(1, 1, 0, 500ms);
    ASSERT_EQ(h.count<RetainKey>(1), 1);
    EXPECT_GE(h.last<RetainKey>()->duration, Duration(19500ms));
    EXPECT_LE(h.last<RetainKey>()->duration, Duration(19700ms));
}

TEST(IdempotencyKeysTest, RepeatOfARequestThatRanIsReplayed) {
    RecordingHost h(test_settings());
    h.request(1, 1);
    h.request(2, 1, 1);
    EXPECT_EQ(h.count<ReplayResult>(2), 1);
    h.send(RunFinished{1, Outcome::ok});
    h.send(RunFinished{2, Outcome::ok});
    h.request(3, 1, 1);
    EXPECT_EQ(h.count<ReplayResult>(3), 1);
    EXPECT_EQ(h.count<Take>(2) + h.count<Take>(3) + h.answer_count(2) + h.answer_count(3), 0);
}

TEST(IdempotencyKeysTest, RepeatOfAQueuedRequestTakesItsPlace) {
    RecordingHost h(test_settings());
    for (RequestId id = 1; id <= 2; ++id)
        h.request(id, 2);
    h.request(3, 1);
    ASSERT_EQ(h.count<Take>(3), 0);
    h.request(4, 1, 3);
    EXPECT_EQ(h.count<RetainKey>(4), 1);
    EXPECT_EQ(h.count<Reject>(3), 1);
    EXPECT_EQ(h.count<ReleaseKey>(3), 0);  // the entry has moved
    h.send(RunFinished{1, Outcome::ok});
    EXPECT_EQ(h.count<Take>(4), 1);
    EXPECT_EQ(h.count<Take>(3), 0);
}

TEST(IdempotencyKeysTest, RepeatInTheSameBatchOfWhatNeverRanIsRun) {
    RecordingHost h(test_settings());
    h.request(1, 1, 0, 950ms);  // too late: rejected
    ASSERT_EQ(h.count<Reject>(1), 1);
    h.request(2, 1, 1);
    EXPECT_EQ(h.count<ReplayResult>(2), 0);
    EXPECT_EQ(h.count<Take>(2), 1);
}

TEST(IdempotencyTest, CallThatMayHaveRunIsNotRetried) {
    for (const Outcome o : {Outcome::error, Outcome::timeout, Outcome::reset}) {
        RecordingHost h(test_settings());
        h.request(1, 2);
        h.send(DependencyCallRequested{1});
        h.send(DependencyCallFinished{1, o, 5ms});
        h.advance_until(1200ms);
        EXPECT_EQ(h.count<CallDependency>(1), 1);
        EXPECT_EQ(h.count<Fail>(1), 1);
        EXPECT_EQ(h.count<SkipDependencyCall>(1), 0);
    }
}

TEST(IdempotencyTest, CallProvenNotToHaveRunIsRetried) {
    for (const Outcome o : {Outcome::rejected, Outcome::connect_failed}) {
        RecordingHost h(test_settings());
        h.request(1, 2);
        h.send(DependencyCallRequested{1});
        h.send(DependencyCallFinished{1, o, 5ms});
        h.advance_until(1200ms);
        EXPECT_EQ(h.count<CallDependency>(1), 2);
        EXPECT_EQ(h.answer_count(1), 0);
    }
}

TEST(IdempotencyTest, SuspendedRequestThatMayRunOnceIsNeverRunAgain) {
    RecordingHost h(test_settings());
    h.request(1, 2);
    h.advance_until(2010ms);
    h.send(RunFinished{1, Outcome::cancelled});
    h.advance_until(3s);
    EXPECT_EQ(h.count<Take>(1), 1);
    EXPECT_EQ(h.count<Reject>(1), 0);
}

TEST(IdempotencyTest, UnknownClassIsNeverRun) {
    RecordingHost h(test_settings());
    h.request(1, unknown_index);
    EXPECT_EQ(h.count<Take>(1), 0);
    EXPECT_EQ(h.count<Reject>(1), 1);
}

TEST(IdempotencyTest, ResultsAreSharedOnlyWithATtl) {
    Settings s = test_settings();
    s.result_ttl = 500ms;
    RecordingHost h(s);
    RequestArrived r;
    r.id = 1;
    r.class_index = 0;
    r.reserved_kb = 20;
    r.has_key = true;
    h.send(r);
    EXPECT_EQ(h.count<RetainKey>(1), 1);
    RecordingHost without(test_settings());
    without.send(r);
    EXPECT_EQ(without.count<RetainKey>(1), 0);
}

}  // namespace
