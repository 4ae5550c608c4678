// Limits of what runs and is in flight at once: cores and memory.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(ConcurrencyLimiterTest, StartsAtTheCoreCountAndGrowsWhileCoresIdle) {
    RecordingHost h(test_settings());
    for (RequestId id = 1; id <= 3; ++id)
        h.request(id, 0);
    EXPECT_EQ(h.count<Take>(1) + h.count<Take>(2) + h.count<Take>(3), 2);
    h.advance_until(1200ms, 0.5);
    EXPECT_EQ(h.count<Take>(3), 1);
}

TEST(ConcurrencyLimiterTest,
     GrowsToFullCoresUnderPressureOnly) {  // mixco quiet: large requests late beside a third run
    RecordingHost light(test_settings());
    for (RequestId id = 1; id <= 3; ++id)
        light.request(id, 0);
    light.advance_until(1200ms, 0.85);
    EXPECT_EQ(light.count<Take>(3), 0);
    RecordingHost pressed(test_settings());
    for (RequestId id = 1; id <= 40; ++id)
        pressed.request(id, 0);
    pressed.advance_until(1400ms, 0.85);  // a period has shown what is asked for
    for (RequestId id = 41; id <= 60; ++id)
        pressed.request(id, 0);
    pressed.advance_until(1700ms, 0.85);
    long begun = 0;
    for (RequestId id = 1; id <= 60; ++id)
        begun += pressed.count<Take>(id);
    EXPECT_GT(begun, 2);
}

TEST(ConcurrencyLimiterTest, RequestsAwaitingACallDoNotCount) {
    RecordingHost h(test_settings());
    for (RequestId id = 1; id <= 3; ++id)
        h.request(id, 0);
    h.send(DependencyCallRequested{1});
    EXPECT_EQ(h.count<CallDependency>(1), 1);
    EXPECT_EQ(h.count<Take>(3), 1);
}

TEST(ConcurrencyLimiterTest,
     RunsThatWaitForADiskLeaveTheirCoreToOthers) {  // mixco overload: cores at 58 to 85%
    RecordingHost busy(test_settings()), waiting(test_settings());
    const auto load = [](RecordingHost& h, double runnable) {
        for (RequestId id = 1; id <= 60; ++id) {
            h.request(id, 0);
            if (id > 2)
                h.send(RunFinished{id - 2, Outcome::ok});
            h.advance_until(h.now + 150ms, 1.0, runnable);
        }
        long before = 0, after = 0;
        for (const Action& a : h.recorded_actions)
            before += std::holds_alternative<Take>(a);
        for (RequestId id = 101; id <= 106; ++id)
            h.request(id, 0);
        for (const Action& a : h.recorded_actions)
            after += std::holds_alternative<Take>(a);
        return after - before;
    };
    const long with_cores = load(busy, 2.0), with_disk = load(waiting, 0.5);
    EXPECT_GT(with_disk, with_cores);
}

// Found by the random run: repeats that wait took memory without limit.
TEST(MemoryTest, RepeatsOfOneRunStayUnderTheLimit) {
    Settings s = test_settings();
    s.memory_kb = 600;
    RecordingHost h(s);
    h.request(1, 1);
    ASSERT_EQ(h.count<Take>(1), 1);
    for (RequestId id = 2; id <= 80; ++id)
        h.request(id, 1, 1);
    long waiting = 0, failed = 0, rejected = 0;
    for (RequestId id = 2; id <= 80; ++id) {
        waiting += h.count<ReplayResult>(id);
        failed += h.count<Fail>(id);
        rejected += h.count<Reject>(id);
    }
    EXPECT_LE(20 * 4 + 20 * waiting + 2, 600);
    EXPECT_EQ(waiting + failed, 79);
    EXPECT_EQ(rejected, 0);  // the original has run: failed, not rejected
}

TEST(MemoryTest, StaysUnderTheLimit) {
    Settings s = test_settings();
    s.memory_kb = 500;
    RecordingHost h(s);
    double used_kb = 0.0;
    for (RequestId id = 1; id <= 40; ++id) {
        h.request(id, id % 2 == 0 ? 1 : 2);
        used_kb = 0.0;
        for (RequestId i = 1; i <= id; ++i)
            if (h.answer_count(i) == 0)
                used_kb += 20 * (h.count<Take>(i) ? 4 : 1) + (h.count<RetainKey>(i) ? 2 : 0);
        ASSERT_LE(used_kb, s.memory_kb) << id;
    }
    EXPECT_GT(used_kb, 0.3 * s.memory_kb);
}

TEST(MaxInFlightTest, CountsRequestsAwaitingCallsAsTheyMayReturnAtOnce) {
    Settings s = test_settings();
    s.cold_start = true;  // a fifth of the speed: (1 + 5 x 0.2) x 2 cores = 4
    s.memory_kb = 1e6;
    s.dependency = Dependency::upstream_tier;
    RecordingHost h(s);
    for (RequestId id = 1; id <= 12; ++id) {
        h.request(id, 2);
        if (h.count<Take>(id))
            h.send(DependencyCallRequested{id});
    }
    long run = 0;
    for (RequestId id = 1; id <= 12; ++id)
        run += h.count<Take>(id);
    EXPECT_LE(run, 4);
    EXPECT_GE(run, 2);
}

}  // namespace
