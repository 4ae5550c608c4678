// Failing, hung, slowed and paused servers.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(FailureDetectorTest, FailingServerRejectsNonIdempotentRequestsAndProbesWithOthers) {
    RecordingHost host(test_settings());
    for (RequestId id = 1; id <= 8; ++id) {
        host.request(id, 0);
        host.send(RunFinished{id, Outcome::error});
    }
    host.advance_until(1400ms, 0.1);
    EXPECT_FALSE(host.last<SetHealth>()->healthy);
    host.request(20, 2);
    EXPECT_EQ(host.count<Reject>(20), 1);
    EXPECT_EQ(host.last<Reject>()->retry_after, Duration(1s));
    host.request(21, 0);
    EXPECT_EQ(host.count<StartRun>(21), 1);
    for (RequestId id = 30; id <= 60; ++id) {  // the server recovers through its probes
        host.advance_until(host.now + 250ms, 0.1);
        host.request(id, 0);
        if (host.count<StartRun>(id))
            host.send(RunFinished{id, Outcome::ok});
    }
    host.advance_until(host.now + 250ms, 0.1);
    EXPECT_TRUE(host.last<SetHealth>()->healthy);
    host.request(99, 2);
    EXPECT_EQ(host.count<StartRun>(99), 1);
}

TEST(FailureDetectorTest, FailuresOfTheDependencyDoNotCount) {
    RecordingHost host(test_settings());
    for (RequestId id = 1; id <= 20; ++id) {
        host.request(id, 2);
        host.send(DependencyCallRequested{id});
        host.send(DependencyCallFinished{id, Outcome::error, 5ms});
        host.send(RunFinished{id, Outcome::cancelled});
    }
    host.advance_until(1400ms, 0.1);
    EXPECT_TRUE(host.last<SetHealth>()->healthy);
}

TEST(FailureDetectorTest, HungServerRejectsUntilARunEnds) {
    Settings settings = test_settings();
    settings.classes[0].latency_objective = 8s;
    settings.classes[0].answer_deadline = 9s;
    RecordingHost host(settings);
    host.request(1, 0);
    host.advance_until(14s);
    host.recorded_actions.clear();
    host.request(2, 0);
    host.request(3, 0);
    host.advance_until(22500ms);
    host.request(4, 0);
    EXPECT_EQ(host.count<Reject>(4), 1);
    host.send(RunFinished{2, Outcome::cancelled});
    host.send(RunFinished{1, Outcome::cancelled});
    host.request(5, 0);
    EXPECT_EQ(host.count<StartRun>(5), 1);
}

TEST(FailureDetectorTest, IdempotentRequestsAreAdmittedWhileMostRunsSucceed) {
    RecordingHost host(test_settings());
    for (RequestId id = 1; id <= 40; ++id) {  // one in three fails
        host.request(id, 0);
        host.send(RunFinished{id, id % 3 == 0 ? Outcome::error : Outcome::ok});
    }
    host.advance_until(1400ms, 0.1);
    host.request(50, 0);
    host.request(51, 2);
    EXPECT_EQ(host.count<StartRun>(50), 1);
    EXPECT_EQ(host.count<Reject>(51), 1);
    EXPECT_TRUE(host.last<SetHealth>()->healthy);
}

TEST(StallDetectorTest, SlowedServerRejectsBeforeExpensiveRunsComplete) {
    RecordingHost host(test_settings());
    RequestId id = 0;
    for (int i = 0; i < 40; ++i) {  // each request completes within 50 ms
        host.advance_until(host.now + 100ms);
        host.request(++id, 0);
        host.advance_until(host.now + 50ms);
        host.send(RunFinished{id, Outcome::ok});
    }
    EXPECT_EQ(host.count<Reject>(id), 0);
    for (int i = 0; i < 12; ++i) {  // no run completes any more
        host.advance_until(host.now + 60ms);
        host.request(++id, 0);
    }
    EXPECT_EQ(host.count<Reject>(id), 1);
}

TEST(ProcessPauseTest, IsNotLearnedAsHigherCost) {
    const auto rejected = [](bool pauses) {
        RecordingHost host(test_settings());
        RequestId id = 0;
        for (int i = 0; i < 40; ++i) {
            host.request(++id, 0);
            host.advance_until(host.now + 100ms);
            if (pauses)
                host.now += 270ms;  // no event and no timer during the pause
            host.send(RunFinished{id, Outcome::ok});
        }
        host.advance_until(host.now + 1s);
        const RequestId first = id + 1;
        for (int i = 0; i < 30; ++i)
            host.request(++id, 0);
        long rejected_count = 0;
        for (RequestId k = first; k <= id; ++k)
            rejected_count += host.count<Reject>(k);
        return rejected_count;
    };
    EXPECT_LE(rejected(true), rejected(false) + 1);
}

}  // namespace
