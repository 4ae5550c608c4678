// Load advertisement and Retry-After.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(LoadAdvertisementTest, LevelRisesUnderPressureAndFallsAfter) {
    Settings settings = test_settings();
    settings.load_advertisement = LoadAdvertisement::level;
    RecordingHost host(settings);
    RequestId id = 0;
    for (int i = 0; i < 100; ++i) {
        host.advance_until(host.now + 20ms);
        host.request(++id, 0);
        if (host.count<StartRun>(id))
            host.send(RunFinished{id, Outcome::ok});
        host.request(++id, 0);
    }
    EXPECT_GT(host.last<AdvertiseLoad>()->value, 0.0);
    for (RequestId i = 1; i <= id; ++i)
        if (host.count<StartRun>(i))
            host.send(RunFinished{i, Outcome::ok});
    host.advance_until(host.now + 20s);
    EXPECT_EQ(host.last<AdvertiseLoad>()->value, 0.0);
}

// Guards against a load advertisement that comes too late for callers to act on it.
TEST(LoadAdvertisementTest, IntakeDelayRaisesRetryAfterAndLevelAtOnce) {
    Settings settings = test_settings();
    settings.load_advertisement = LoadAdvertisement::level;
    RecordingHost host(settings);
    for (RequestId id = 1; id <= 12; ++id)
        host.request(id, 0, 0, 900ms);
    EXPECT_GT(host.last<Reject>()->retry_after, Duration(900ms));
    host.advance_until(1200ms);
    EXPECT_GT(host.last<AdvertiseLoad>()->value, 0.8);
}

// Guards against a Retry-After that also holds back requests of high bands.
TEST(LoadAdvertisementTest, NoRetryAfterWhileTheTopBandIsServed) {
    RecordingHost host(test_settings());
    host.advance_until(1200ms);
    for (RequestId id = 1; id <= 60; ++id) {
        host.request(id, 0);
        host.advance_until(host.now + 100ms);
        host.send(RunFinished{id, Outcome::ok});
    }
    for (RequestId id = 301; id <= 400; ++id)
        host.request(id, 0);
    ASSERT_EQ(host.count<Reject>(400), 1);
    EXPECT_EQ(host.last<Reject>()->retry_after, Duration(0));
}

TEST(LoadAdvertisementTest, NoneIfTheSettingIsNone) {
    RecordingHost host(test_settings());
    host.advance_until(5s);
    EXPECT_EQ(host.last<AdvertiseLoad>(), nullptr);
}

// Guards against a credit of one request each for 150 callers, which limits nothing.
TEST(LoadAdvertisementTest, CreditDividesTheRequestsAnswerableInTimeAmongTheCallers) {
    Settings settings = test_settings();
    settings.load_advertisement = LoadAdvertisement::credit;
    settings.caller_count = 150;
    RecordingHost many_callers(settings);
    many_callers.advance_until(3s);
    ASSERT_NE(many_callers.last<AdvertiseLoad>(), nullptr);
    EXPECT_LT(many_callers.last<AdvertiseLoad>()->value, 0.2);
    EXPECT_GT(many_callers.last<AdvertiseLoad>()->value, 0.0);
    settings.caller_count = 3;
    RecordingHost few_callers(settings);
    few_callers.advance_until(3s);
    EXPECT_GT(few_callers.last<AdvertiseLoad>()->value, 1.0);
}

}  // namespace
