// The do-not-retry mark of rejections.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

// On windhoek-later big-1 each rejected request was retried on a dozen servers, whose cores read (0.02 -> 0.56).
TEST(DoNotRetryTest, RejectedRetryIsToldNotToRetry) {
    Settings settings = test_settings();
    settings.callers_mark_retries = true;
    settings.replica_count = 300;
    RecordingHost host(settings);
    host.advance_until(1200ms);
    for (RequestId id = 1; id <= 40; ++id)
        host.request(id, 0);
    ASSERT_EQ(host.count<Reject>(40), 1);
    EXPECT_FALSE(host.last<Reject>()->do_not_retry);  // a first attempt may be admitted elsewhere
    RequestArrived retried;
    retried.id = 41;
    retried.class_index = 0;
    retried.is_retry = true;
    host.send(retried);
    ASSERT_EQ(host.count<Reject>(41), 1);
    EXPECT_TRUE(host.last<Reject>()->do_not_retry);
}

RecordingHost overloaded_host(Settings settings, bool retry) {  // 200 reads at once, most of them rejected
    settings.replica_count = 300;
    RecordingHost host(settings);
    host.advance_until(1200ms);
    for (RequestId id = 1; id <= 200; ++id) {
        RequestArrived r;
        r.id = id;
        r.class_index = 0;
        r.is_retry = retry && id % 4 != 0;
        host.send(r);
    }
    return host;
}

TEST(DoNotRetryTest, RejectedFirstAttemptIsToldSoWhereRetriesAreMany) {
    Settings settings = test_settings();
    settings.callers_mark_retries = true;
    RecordingHost with_retries = overloaded_host(settings, true),
                  without_retries = overloaded_host(settings, false);
    ASSERT_EQ(with_retries.count<Reject>(200), 1);  // a first attempt
    EXPECT_TRUE(with_retries.last<Reject>()->do_not_retry);
    ASSERT_EQ(without_retries.count<Reject>(200), 1);
    EXPECT_FALSE(
        without_retries.last<Reject>()->do_not_retry);  // others do not reject: the fault is here alone
}

TEST(DoNotRetryTest,
     OwnRejectionsStandForRetriesWithoutMarks) {  // jawa-later: 8 attempts a request; colombo: reads are dear
    RecordingHost host = overloaded_host(test_settings(), false);
    ASSERT_EQ(host.count<Reject>(200), 1);
    EXPECT_TRUE(host.last<Reject>()->do_not_retry);
    for (RequestId id = 201; id <= 300; ++id)
        host.request(id, 2);
    ASSERT_EQ(host.count<Reject>(300), 1);
    EXPECT_TRUE(
        host.last<Reject>()->do_not_retry);  // high bands too: each retry takes a read from other work
}

TEST(DoNotRetryTest, NotSetWhileThisServerIsAtFault) {
    RecordingHost host = overloaded_host(test_settings(), false);
    host.send(DrainStarted{host.now + 10s});
    host.advance_until(host.now + 3s);
    host.request(400, 0);
    ASSERT_EQ(host.count<Reject>(400), 1);
    EXPECT_FALSE(host.last<Reject>()->do_not_retry);  // it drains: others may have capacity
}

TEST(DoNotRetryTest, NotSetWhereReplicasAreFew) {
    Settings settings = test_settings();
    settings.callers_mark_retries = true;
    settings.replica_count = 4;
    RecordingHost host(settings);
    host.advance_until(1200ms);
    for (RequestId id = 1; id <= 200; ++id) {
        RequestArrived r;
        r.id = id;
        r.class_index = 0;
        r.is_retry = id % 2 != 0;
        host.send(r);
    }
    ASSERT_EQ(host.count<Reject>(200), 1);
    EXPECT_FALSE(host.last<Reject>()->do_not_retry);
}

}  // namespace
