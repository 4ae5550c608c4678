// Load advertisement and Retry-After.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(LoadAdvertisementTest, LevelRisesUnderPressureAndFallsAfter) {
    Settings s = test_settings();
    s.load_advertisement = LoadAdvertisement::level;
    RecordingHost h(s);
    RequestId id = 0;
    for (int i = 0; i < 100; ++i) {
        h.advance_until(h.now + 20ms);
        h.request(++id, 0);
        if (h.count<Take>(id))
            h.send(RunFinished{id, Outcome::ok});
        h.request(++id, 0);
    }
    EXPECT_GT(h.last<AdvertiseLoad>()->value, 0.0);
    for (RequestId i = 1; i <= id; ++i)
        if (h.count<Take>(i))
            h.send(RunFinished{i, Outcome::ok});
    h.advance_until(h.now + 20s);
    EXPECT_EQ(h.last<AdvertiseLoad>()->value, 0.0);
}

TEST(
    LoadAdvertisementTest,
    IntakeDelayRaisesRetryAfterAndLevelAtOnce) {  // windhoek incident iefc54f: the advertisement came too late to be read
    Settings s = test_settings();
    s.load_advertisement = LoadAdvertisement::level;
    RecordingHost h(s);
    for (RequestId id = 1; id <= 12; ++id)
        h.request(id, 0, 0, 900ms);
    EXPECT_GT(h.last<Reject>()->retry_after, Duration(900ms));
    h.advance_until(1200ms);
    EXPECT_GT(h.last<AdvertiseLoad>()->value, 0.8);
}

TEST(LoadAdvertisementTest,
     NoRetryAfterWhileTheTopBandIsServed) {  // jawa lost high bands to a blanket Retry-After
    RecordingHost h(test_settings());
    h.advance_until(1200ms);
    for (RequestId id = 1; id <= 60; ++id) {
        h.request(id, 0);
        h.advance_until(h.now + 100ms);
        h.send(RunFinished{id, Outcome::ok});
    }
    for (RequestId id = 301; id <= 400; ++id)
        h.request(id, 0);
    ASSERT_EQ(h.count<Reject>(400), 1);
    EXPECT_EQ(h.last<Reject>()->retry_after, Duration(0));
}

TEST(LoadAdvertisementTest, NoneWhereTheSettingIsNone) {
    RecordingHost h(test_settings());
    h.advance_until(5s);
    EXPECT_EQ(h.last<AdvertiseLoad>(), nullptr);
}

TEST(LoadAdvertisementTest,
     CreditSharesAmongTheCallersWhatCanBeAnsweredInTime) {  // colombo: 150 callers at one each is no limit
    Settings s = test_settings();
    s.load_advertisement = LoadAdvertisement::credit;
    s.caller_count = 150;
    RecordingHost many(s);
    many.advance_until(3s);
    ASSERT_NE(many.last<AdvertiseLoad>(), nullptr);
    EXPECT_LT(many.last<AdvertiseLoad>()->value, 0.2);
    EXPECT_GT(many.last<AdvertiseLoad>()->value, 0.0);
    s.caller_count = 3;
    RecordingHost few(s);
    few.advance_until(3s);
    EXPECT_GT(few.last<AdvertiseLoad>()->value, 1.0);
}

}  // namespace
