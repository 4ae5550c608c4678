// The do-not-retry flag of rejections.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

// Guards against rejected requests that are retried on a dozen servers, whose cores are then used up by reading them;
// the flag raised the score from 0.02 to 0.56.
TEST(DoNotRetryTest, RejectedRetryIsFlagged) {
    Settings settings = test_settings();
    settings.callers_mark_retries = true;
    settings.replica_count = 300;
    RecordingHost host(settings);
    host.advance_until(1200ms);
    for (RequestId id = 1; id <= 40; ++id)
        host.request(id, 0);
    ASSERT_EQ(host.count<Reject>(40), 1);
    EXPECT_FALSE(host.last<Reject>()->do_not_retry);  // another server may admit a first attempt
    RequestArrived retried;
    retried.id = 41;
    retried.class_index = 0;
    retried.is_retry = true;
    host.send(retried);
    ASSERT_EQ(host.count<Reject>(41), 1);
    EXPECT_TRUE(host.last<Reject>()->do_not_retry);
}

/// A host after 200 simultaneous reads, most of them rejected; with `retry`, three in four are retries.
RecordingHost overloaded_host(Settings settings, bool retry) {
    settings.replica_count = 300;
    RecordingHost host(settings);
    host.advance_until(1200ms);
    for (RequestId id = 1; id <= 200; ++id) {
        RequestArrived arrival;
        arrival.id = id;
        arrival.class_index = 0;
        arrival.is_retry = retry && id % 4 != 0;
        host.send(arrival);
    }
    return host;
}

TEST(DoNotRetryTest, RejectedFirstAttemptIsFlaggedWhenRetriesAreFrequent) {
    Settings settings = test_settings();
    settings.callers_mark_retries = true;
    RecordingHost with_retries = overloaded_host(settings, true),
                  without_retries = overloaded_host(settings, false);
    ASSERT_EQ(with_retries.count<Reject>(200), 1);  // a first attempt
    EXPECT_TRUE(with_retries.last<Reject>()->do_not_retry);
    ASSERT_EQ(without_retries.count<Reject>(200), 1);
    // Without retries, other servers do not reject.
    EXPECT_FALSE(without_retries.last<Reject>()->do_not_retry);
}

// Guards against repeated attempts (eight per request) where each read is expensive and retries are not marked.
TEST(DoNotRetryTest, OwnRejectionsCountAsRetriesIfRetriesAreNotMarked) {
    RecordingHost host = overloaded_host(test_settings(), false);
    ASSERT_EQ(host.count<Reject>(200), 1);
    EXPECT_TRUE(host.last<Reject>()->do_not_retry);
    for (RequestId id = 201; id <= 300; ++id)
        host.request(id, 2);
    ASSERT_EQ(host.count<Reject>(300), 1);
    // High bands as well, because each retry costs a read.
    EXPECT_TRUE(host.last<Reject>()->do_not_retry);
}

TEST(DoNotRetryTest, NotSetWhileThisServerIsAtFault) {
    RecordingHost host = overloaded_host(test_settings(), false);
    host.send(DrainStarted{host.now + 10s});
    host.advance_until(host.now + 3s);
    host.request(400, 0);
    ASSERT_EQ(host.count<Reject>(400), 1);
    EXPECT_FALSE(host.last<Reject>()->do_not_retry);  // this server drains; others may have capacity
}

TEST(DoNotRetryTest, NotSetWithFewReplicas) {
    Settings settings = test_settings();
    settings.callers_mark_retries = true;
    settings.replica_count = 4;
    RecordingHost host(settings);
    host.advance_until(1200ms);
    for (RequestId id = 1; id <= 200; ++id) {
        RequestArrived arrival;
        arrival.id = id;
        arrival.class_index = 0;
        arrival.is_retry = id % 2 != 0;
        host.send(arrival);
    }
    ASSERT_EQ(host.count<Reject>(200), 1);
    EXPECT_FALSE(host.last<Reject>()->do_not_retry);
}

}  // namespace
