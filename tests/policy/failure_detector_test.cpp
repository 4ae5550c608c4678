// Failing, hung, slowed and paused servers.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(FailureDetectorTest, FailingServerRejectsWhatMayRunOnceAndProbesWithTheRest) {
    RecordingHost h(test_settings());
    for (RequestId id = 1; id <= 8; ++id) {
        h.request(id, 0);
        h.send(RunFinished{id, Outcome::error});
    }
    h.advance_until(1400ms, 0.1);
    EXPECT_FALSE(h.last<SetHealth>()->healthy);
    h.request(20, 2);
    EXPECT_EQ(h.count<Reject>(20), 1);
    EXPECT_EQ(h.last<Reject>()->retry_after, Duration(1s));
    h.request(21, 0);
    EXPECT_EQ(h.count<Take>(21), 1);
    for (RequestId id = 30; id <= 60; ++id) {  // it recovers by its probes
        h.advance_until(h.now + 250ms, 0.1);
        h.request(id, 0);
        if (h.count<Take>(id))
            h.send(RunFinished{id, Outcome::ok});
    }
    h.advance_until(h.now + 250ms, 0.1);
    EXPECT_TRUE(h.last<SetHealth>()->healthy);
    h.request(99, 2);
    EXPECT_EQ(h.count<Take>(99), 1);
}

TEST(FailureDetectorTest, FailuresOfTheDependencyDoNotCount) {
    RecordingHost h(test_settings());
    for (RequestId id = 1; id <= 20; ++id) {
        h.request(id, 2);
        h.send(DependencyCallRequested{id});
        h.send(DependencyCallFinished{id, Outcome::error, 5ms});
        h.send(RunFinished{id, Outcome::cancelled});
    }
    h.advance_until(1400ms, 0.1);
    EXPECT_TRUE(h.last<SetHealth>()->healthy);
}

TEST(FailureDetectorTest, HungServerRejectsUntilARunEnds) {
    Settings s = test_settings();
    s.classes[0].latency_objective = 8s;
    s.classes[0].answer_deadline = 9s;
    RecordingHost h(s);
    h.request(1, 0);
    h.advance_until(14s);
    h.recorded_actions.clear();
    h.request(2, 0);
    h.request(3, 0);
    h.advance_until(22500ms);
    h.request(4, 0);
    EXPECT_EQ(h.count<Reject>(4), 1);
    h.send(RunFinished{2, Outcome::cancelled});
    h.send(RunFinished{1, Outcome::cancelled});
    h.request(5, 0);
    EXPECT_EQ(h.count<Take>(5), 1);
}

TEST(FailureDetectorTest, WhatMayRunAgainIsAdmittedWhileMostRunsSucceed) {
    RecordingHost h(test_settings());
    for (RequestId id = 1; id <= 40; ++id) {  // one in three fails
        h.request(id, 0);
        h.send(RunFinished{id, id % 3 == 0 ? Outcome::error : Outcome::ok});
    }
    h.advance_until(1400ms, 0.1);
    h.request(50, 0);
    h.request(51, 2);
    EXPECT_EQ(h.count<Take>(50), 1);
    EXPECT_EQ(h.count<Reject>(51), 1);
    EXPECT_TRUE(h.last<SetHealth>()->healthy);
}

TEST(StallDetectorTest, SlowedServerRejectsBeforeDearRunsComplete) {
    RecordingHost h(test_settings());
    RequestId id = 0;
    for (int i = 0; i < 40; ++i) {  // ten a second, each done at once
        h.advance_until(h.now + 100ms);
        h.request(++id, 0);
        h.advance_until(h.now + 50ms);
        h.send(RunFinished{id, Outcome::ok});
    }
    EXPECT_EQ(h.count<Reject>(id), 0);
    for (int i = 0; i < 12; ++i) {  // now nothing completes
        h.advance_until(h.now + 60ms);
        h.request(++id, 0);
    }
    EXPECT_EQ(h.count<Reject>(id), 1);
}

TEST(ProcessPauseTest, IsNotLearnedAsDearWork) {
    const auto rejected = [](bool pauses) {
        RecordingHost h(test_settings());
        RequestId id = 0;
        for (int i = 0; i < 40; ++i) {
            h.request(++id, 0);
            h.advance_until(h.now + 100ms);
            if (pauses)
                h.now += 270ms;  // nothing comes in, no timer runs
            h.send(RunFinished{id, Outcome::ok});
        }
        h.advance_until(h.now + 1s);
        const RequestId first = id + 1;
        for (int i = 0; i < 30; ++i)
            h.request(++id, 0);
        long n = 0;
        for (RequestId k = first; k <= id; ++k)
            n += h.count<Reject>(k);
        return n;
    };
    EXPECT_LE(rejected(true), rejected(false) + 1);
}

}  // namespace
