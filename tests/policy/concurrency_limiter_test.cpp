// Limits on running requests and requests in flight, by cores and by memory.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(ConcurrencyLimiterTest, StartsAtTheCoreCountAndGrowsWhileCoresIdle) {
    RecordingHost host(test_settings());
    for (RequestId id = 1; id <= 3; ++id)
        host.request(id, 0);
    EXPECT_EQ(host.count<StartRun>(1) + host.count<StartRun>(2) + host.count<StartRun>(3), 2);
    host.advance_until(1200ms, 0.5);
    EXPECT_EQ(host.count<StartRun>(3), 1);
}

// A third run beside two makes large requests late, which is worthwhile only under pressure.
TEST(ConcurrencyLimiterTest, GrowsToFullCoresUnderPressureOnly) {
    RecordingHost lightly_loaded(test_settings());
    for (RequestId id = 1; id <= 3; ++id)
        lightly_loaded.request(id, 0);
    lightly_loaded.advance_until(1200ms, 0.85);
    EXPECT_EQ(lightly_loaded.count<StartRun>(3), 0);
    RecordingHost overloaded(test_settings());
    for (RequestId id = 1; id <= 40; ++id)
        overloaded.request(id, 0);
    overloaded.advance_until(1400ms, 0.85);  // one closed period gives the demand
    for (RequestId id = 41; id <= 60; ++id)
        overloaded.request(id, 0);
    overloaded.advance_until(1700ms, 0.85);
    long started = 0;
    for (RequestId id = 1; id <= 60; ++id)
        started += overloaded.count<StartRun>(id);
    EXPECT_GT(started, 2);
}

TEST(ConcurrencyLimiterTest, RequestsAwaitingACallDoNotCount) {
    RecordingHost host(test_settings());
    for (RequestId id = 1; id <= 3; ++id)
        host.request(id, 0);
    host.send(DependencyCallRequested{1});
    EXPECT_EQ(host.count<CallDependency>(1), 1);
    EXPECT_EQ(host.count<StartRun>(3), 1);
}

// Guards against idle cores under overload (58 to 85% used) while runs wait for a disk.
TEST(ConcurrencyLimiterTest, RunsThatWaitForADiskLeaveTheirCoreToOthers) {
    RecordingHost busy(test_settings()), waiting(test_settings());
    const auto load = [](RecordingHost& host, double runnable) {
        for (RequestId id = 1; id <= 60; ++id) {
            host.request(id, 0);
            if (id > 2)
                host.send(RunFinished{id - 2, Outcome::ok});
            host.advance_until(host.now + 150ms, 1.0, runnable);
        }
        long before = 0, after = 0;
        for (const Action& a : host.recorded_actions)
            before += std::holds_alternative<StartRun>(a);
        for (RequestId id = 101; id <= 106; ++id)
            host.request(id, 0);
        for (const Action& a : host.recorded_actions)
            after += std::holds_alternative<StartRun>(a);
        return after - before;
    };
    const long with_cores = load(busy, 2.0), with_disk = load(waiting, 0.5);
    EXPECT_GT(with_disk, with_cores);
}

// Guards against repeats that wait for a result and use memory without limit.
TEST(MemoryTest, RepeatsOfOneRunStayUnderTheLimit) {
    Settings settings = test_settings();
    settings.memory_kb = 600;
    RecordingHost host(settings);
    host.request(1, 1);
    ASSERT_EQ(host.count<StartRun>(1), 1);
    for (RequestId id = 2; id <= 80; ++id)
        host.request(id, 1, 1);
    long waiting = 0, failed = 0, rejected = 0;
    for (RequestId id = 2; id <= 80; ++id) {
        waiting += host.count<ReplayResult>(id);
        failed += host.count<Fail>(id);
        rejected += host.count<Reject>(id);
    }
    EXPECT_LE(20 * 4 + 20 * waiting + 2, 600);
    EXPECT_EQ(waiting + failed, 79);
    EXPECT_EQ(rejected, 0);  // the original has run, so repeats fail rather than being rejected
}

TEST(MemoryTest, StaysUnderTheLimit) {
    Settings settings = test_settings();
    settings.memory_kb = 500;
    RecordingHost host(settings);
    double used_kb = 0.0;
    for (RequestId id = 1; id <= 40; ++id) {
        host.request(id, id % 2 == 0 ? 1 : 2);
        used_kb = 0.0;
        for (RequestId i = 1; i <= id; ++i)
            if (host.answer_count(i) == 0)
                used_kb += 20 * (host.count<StartRun>(i) ? 4 : 1) + (host.count<RetainKey>(i) ? 2 : 0);
        ASSERT_LE(used_kb, settings.memory_kb) << id;
    }
    EXPECT_GT(used_kb, 0.3 * settings.memory_kb);
}

TEST(MaxInFlightTest, CountsRequestsAwaitingCallsAsTheyMayReturnAtOnce) {
    Settings settings = test_settings();
    settings.cold_start = true;  // a fifth of full speed: (1 + 5 x 0.2) x 2 cores = 4
    settings.memory_kb = 1e6;
    settings.dependency = Dependency::upstream_tier;
    RecordingHost host(settings);
    for (RequestId id = 1; id <= 12; ++id) {
        host.request(id, 2);
        if (host.count<StartRun>(id))
            host.send(DependencyCallRequested{id});
    }
    long run = 0;
    for (RequestId id = 1; id <= 12; ++id)
        run += host.count<StartRun>(id);
    EXPECT_LE(run, 4);
    EXPECT_GE(run, 2);
}

}  // namespace
