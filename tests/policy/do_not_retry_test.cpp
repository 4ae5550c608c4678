// The do-not-retry mark of rejections.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

// On windhoek-later big-1 each rejected request was retried on a dozen servers, whose cores read (0.02 -> 0.56).
TEST(DoNotRetryTest, RejectedRetryIsToldNotToRetry) {
    Settings s = test_settings();
    s.callers_mark_retries = true;
    s.replica_count = 300;
    RecordingHost h(s);
    h.advance_until(1200ms);
    for (RequestId id = 1; id <= 40; ++id)
        h.request(id, 0);
    ASSERT_EQ(h.count<Reject>(40), 1);
    EXPECT_FALSE(h.last<Reject>()->do_not_retry);  // a first attempt may be admitted elsewhere
    RequestArrived again;
    again.id = 41;
    again.class_index = 0;
    again.is_retry = true;
    h.send(again);
    ASSERT_EQ(h.count<Reject>(41), 1);
    EXPECT_TRUE(h.last<Reject>()->do_not_retry);
}

RecordingHost overloaded_host(Settings s, bool retry) {  // 200 reads at once, most of them rejected
    s.replica_count = 300;
    RecordingHost h(s);
    h.advance_until(1200ms);
    for (RequestId id = 1; id <= 200; ++id) {
        RequestArrived r;
        r.id = id;
        r.class_index = 0;
        r.is_retry = retry && id % 4 != 0;
        h.send(r);
    }
    return h;
}

TEST(DoNotRetryTest, RejectedFirstAttemptIsToldSoWhereRetriesAreMany) {
    Settings s = test_settings();
    s.callers_mark_retries = true;
    RecordingHost many = overloaded_host(s, true), few = overloaded_host(s, false);
    ASSERT_EQ(many.count<Reject>(200), 1);  // a first attempt
    EXPECT_TRUE(many.last<Reject>()->do_not_retry);
    ASSERT_EQ(few.count<Reject>(200), 1);
    EXPECT_FALSE(few.last<Reject>()->do_not_retry);  // others do not reject: the fault is here alone
}

TEST(DoNotRetryTest,
     OwnRejectionsStandForRetriesWithoutMarks) {  // jawa-later: 8 attempts a request; colombo: reads are dear
    RecordingHost h = overloaded_host(test_settings(), false);
    ASSERT_EQ(h.count<Reject>(200), 1);
    EXPECT_TRUE(h.last<Reject>()->do_not_retry);
    for (RequestId id = 201; id <= 300; ++id)
        h.request(id, 2);
    ASSERT_EQ(h.count<Reject>(300), 1);
    EXPECT_TRUE(h.last<Reject>()->do_not_retry);  // high bands too: each retry takes a read from other work
}

TEST(DoNotRetryTest, NotSetWhileThisServerIsAtFault) {
    RecordingHost h = overloaded_host(test_settings(), false);
    h.send(DrainStarted{h.now + 10s});
    h.advance_until(h.now + 3s);
    h.request(400, 0);
    ASSERT_EQ(h.count<Reject>(400), 1);
    EXPECT_FALSE(h.last<Reject>()->do_not_retry);  // it drains: others may have capacity
}

TEST(DoNotRetryTest, NotSetWhereReplicasAreFew) {
    Settings s = test_settings();
    s.callers_mark_retries = true;
    s.replica_count = 4;
    RecordingHost h(s);
    h.advance_until(1200ms);
    for (RequestId id = 1; id <= 200; ++id) {
        RequestArrived r;
        r.id = id;
        r.class_index = 0;
        r.is_retry = id % 2 != 0;
        h.send(r);
    }
    ASSERT_EQ(h.count<Reject>(200), 1);
    EXPECT_FALSE(h.last<Reject>()->do_not_retry);
}

}  // namespace
