// The limiter of dependency calls: quota, timeouts, skipped calls.
#include <gtest/gtest.h>

#include <algorithm>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(DependencyLimiterTest, CallsInFlightStayUnderTheQuota) {
    Settings s = test_settings();
    s.dependency_call_quota = 2;
    s.max_runnable_per_core = 40;
    s.memory_kb = 1e6;
    RecordingHost h(s);
    for (RequestId id = 1; id <= 8; ++id) {
        h.request(id, 2);
        h.send(DependencyCallRequested{id});
    }
    long calls = 0;
    for (RequestId id = 1; id <= 8; ++id)
        calls += h.count<CallDependency>(id);
    EXPECT_EQ(calls, 2);
}

// windhoek-later big-2: 300 servers with half a call each had one in flight each, and the dependency fell over
TEST(DependencyLimiterTest, QuotaUnderOneCallIsAPartOfTheTime) {
    Settings s = test_settings();
    s.dependency_call_quota = 0.5;
    s.classes[0].latency_objective =
        4s;  // patient enough to make a call that is longer than the quota allows
    s.classes[0].answer_deadline = 8s;
    s.max_runnable_per_core = 400;
    s.memory_kb = 1e6;
    s.abandoned_call_grace = 200ms;
    RecordingHost h(s);
    std::vector<std::pair<Timestamp, Timestamp>> calls;  // from and until, of a dependency that never answers
    std::size_t seen = 0;
    RequestId id = 0;
    for (int i = 0; i < 60; ++i) {
        for (int k = 0; k < 4; ++k) {
            h.request(++id, 0);
            if (h.count<Take>(id))
                h.send(DependencyCallRequested{id});
        }
        for (Timestamp until = h.now + 500ms; seen < h.recorded_actions.size(); ++seen)
            if (std::holds_alternative<CallDependency>(h.recorded_actions[seen])) {
                const CallDependency c =
                    std::get<CallDependency>(h.recorded_actions[seen]);  // a copy: the list grows below
                calls.push_back({h.now, h.now + c.timeout + s.abandoned_call_grace});
                h.advance_until(h.now + c.timeout);
                h.send(DependencyCallFinished{c.id, Outcome::timeout, 400ms});
                h.advance_until(std::max(h.now, until));
            }
        h.advance_until(h.now + 100ms);
    }
    ASSERT_GE(calls.size(), 3U);
    for (Timestamp from = 1s; from < 20s; from += 250ms) {
        double call_seconds = 0.0;
        for (const auto& [start, end] : calls)
            call_seconds += std::max(
                0.0, std::chrono::duration<double>(std::min(end, from + 5s) - std::max(start, from)).count());
        EXPECT_LE(call_seconds, 0.5 * 5.0) << "in the 5 s from " << from.count();
    }
}

// windhoek-later big-2: requests were run up to their call and then waited for it until their time was over
TEST(DependencyLimiterTest, CallsThatRunsAheadWillMakeCountAtAdmission) {
    Settings s = test_settings();
    s.dependency_call_quota = 0.3;
    s.classes[2].calls_dependency = false;
    s.classes[0] = {"call", Idempotency::always, 1.0, 0.0, 1s, 4s, 0s, true, 0.0};
    s.cores = 16;
    s.max_runnable_per_core = 40;
    s.memory_kb = 1e6;
    RecordingHost h(s);
    for (RequestId id = 1; id <= 3; ++id) {  // each call takes 300 ms of a part that gives 135 ms a second
        h.request(id, 0);
        h.send(DependencyCallRequested{id});
        h.advance_until(h.now + 300ms);
        if (h.count<CallDependency>(id))
            h.send(DependencyCallFinished{id, Outcome::ok, 300ms});
        h.send(RunFinished{id, Outcome::ok});
    }
    h.advance_until(h.now + 10s);
    for (RequestId id = 11; id <= 30; ++id)
        h.request(id, 0);
    long taken = 0;
    for (RequestId id = 11; id <= 30; ++id)
        taken += h.count<Take>(id);
    EXPECT_GE(taken, 1);
    EXPECT_LE(taken, 5);  // cores for all of them, calls for few
    h.request(31, 2);  // needs no call
    EXPECT_EQ(h.count<Take>(31), 1);
}

TEST(DependencyLimiterTest, NoQuotaMeansNoCallAndADefinedAnswer) {
    Settings s = test_settings();
    s.dependency_call_quota = 0;
    RecordingHost h(s);
    h.request(1, 0);
    h.send(DependencyCallRequested{1});
    h.advance_until(1900ms);
    EXPECT_EQ(h.count<CallDependency>(1), 0);
    EXPECT_EQ(h.count<SkipDependencyCall>(1) + h.answer_count(1), 1);
}

TEST(DependencyLimiterTest, CallIsSkippedInTimeForTheAnswer) {
    Settings s = test_settings();
    s.dependency_call_quota = 1;
    RecordingHost h(s);
    for (RequestId id = 1; id <= 2; ++id) {
        h.request(id, 0);
        h.send(DependencyCallRequested{id});
    }
    EXPECT_EQ(h.count<CallDependency>(2), 0);
    h.advance_until(1880ms);
    EXPECT_EQ(h.count<SkipDependencyCall>(2), 1);
    EXPECT_EQ(h.answer_count(2), 0);
}

TEST(DependencyLimiterTest,
     CallThatCannotBeBackInTimeIsNotMade) {  // windhoek big-2: half of the calls in flight were lost ones
    Settings s = test_settings();
    s.dependency_call_quota = 1;
    s.max_runnable_per_core = 40;
    s.memory_kb = 1e6;
    RecordingHost h(s);
    h.request(1, 2);
    h.send(DependencyCallRequested{1});
    h.advance_until(1500ms);
    h.send(DependencyCallFinished{1, Outcome::ok, 500ms});
    h.send(RunFinished{1, Outcome::ok});
    h.request(2, 2);
    h.request(3, 2);
    h.send(DependencyCallRequested{2});
    h.send(DependencyCallRequested{3});
    ASSERT_EQ(h.count<CallDependency>(3), 0);  // queued behind the call of 2
    h.advance_until(2200ms);
    h.send(
        DependencyCallFinished{2, Outcome::ok, 700ms});  // 3 has 220 ms left where a call takes half a second
    EXPECT_EQ(h.count<CallDependency>(3), 0);
    EXPECT_EQ(h.count<Fail>(3), 1);
}

// One call was in flight while the dependency was slow for others' sake; cores idled beside forty requests.
TEST(DependencyLimiterTest, SlowDependencyKeepsAPartOfTheCalls) {
    Settings s = test_settings();
    s.dependency_call_quota = 16;
    s.max_runnable_per_core = 40;
    s.memory_kb = 1e6;
    RecordingHost h(s);
    for (RequestId id = 1; id <= 40; ++id) {
        h.request(id, 2);
        h.send(DependencyCallRequested{id});
        h.send(DependencyCallFinished{id, Outcome::reset, 10ms});
        h.send(RunFinished{id, Outcome::cancelled});
        h.advance_until(h.now + 50ms);
    }
    for (RequestId id = 101; id <= 112; ++id) {
        h.request(id, 2);
        h.send(DependencyCallRequested{id});
    }
    long calls = 0;
    for (RequestId id = 101; id <= 112; ++id)
        calls += h.count<CallDependency>(id);
    EXPECT_GE(calls, 4);
    EXPECT_LE(calls, 16);
}

TEST(DependencyLimiterTest, RequestsAwaitingCallsSkipThemBesideIdleCores) {
    Settings s = test_settings();
    s.dependency_call_quota = 1;
    s.max_runnable_per_core = 4;  // six in flight at most
    s.memory_kb = 1e6;
    RecordingHost h(s);
    for (RequestId id = 1; id <= 6; ++id) {
        h.request(id, 0);
        h.send(DependencyCallRequested{id});
    }
    EXPECT_EQ(h.count<CallDependency>(1), 1);
    EXPECT_EQ(h.count<SkipDependencyCall>(6), 0);
    h.request(7, 0);  // queued: no more may be in flight, and both cores idle
    long skips = 0;
    for (RequestId id = 1; id <= 6; ++id)
        skips += h.count<SkipDependencyCall>(id);
    EXPECT_EQ(skips, 1);
    EXPECT_EQ(h.count<SkipDependencyCall>(1), 0);
}

TEST(DependencyLimiterTest, RunsThatWaitedForCallsDoNotKeepWhatCanSkipThemFromStarting) {
    Settings s = test_settings();
    s.classes[0].latency_objective = 1s;
    RecordingHost h(s);
    Timestamp t = h.now;
    for (RequestId id = 1; id <= 20; ++id) {
        h.request(id, 0);
        h.send(DependencyCallRequested{id});
        h.advance_until(t += 1100ms, 0.1);  // skipped at last; its run has taken longer than the target
        h.send(RunFinished{id, Outcome::ok});
    }
    h.request(99, 0);
    h.request(100, 0);
    h.request(101, 0);
    EXPECT_EQ(h.count<Take>(99) + h.count<Take>(100), 2);
    EXPECT_EQ(h.answer_count(101), 0);
}

// A churning day failed 264 trail sheets at 0.64 s, their calls in flight, though they were due in 2.9 s.
TEST(DependencyLimiterTest, SlowCallTimesOutInTimeForTheAnswerWithoutIt) {
    RecordingHost h(test_settings());
    h.request(1, 0);
    h.send(DependencyCallRequested{1});
    const CallDependency* call = h.last<CallDependency>();
    ASSERT_NE(call, nullptr);
    const Duration timeout = call->timeout;  // what `call` points to moves as more is recorded
    EXPECT_GT(timeout, 500ms);
    EXPECT_LT(timeout, 920ms);
    h.advance_until(h.now + timeout);
    EXPECT_EQ(h.answer_count(1), 0);
    h.send(DependencyCallFinished{1, Outcome::timeout, timeout});
    EXPECT_EQ(h.count<SkipDependencyCall>(1), 1);
    EXPECT_EQ(h.answer_count(1), 0);
}

TEST(DependencyLimiterTest,
     HigherBandsDoNotCountTheCallsOfLowerOnesAhead) {  // jawa incident id7efce: 0.64 -> 0.46
    Settings s = test_settings();
    s.dependency_call_quota = 1;
    s.max_runnable_per_core = 40;
    s.memory_kb = 1e6;
    s.classes[0].skipped_call_weight = 0.0;
    RecordingHost h(s);
    h.request(1, 2);
    h.send(DependencyCallRequested{1});
    h.advance_until(1300ms);
    h.send(DependencyCallFinished{1, Outcome::ok, 300ms});
    h.send(RunFinished{1, Outcome::ok});
    h.request(20, 2);  // something runs: no idle probe
    for (RequestId id = 2; id <= 7; ++id) {  // one call in flight, five queued: a second and a half
        h.request(id, 0);
        h.send(DependencyCallRequested{id});
    }
    h.request(8, 0);
    EXPECT_EQ(h.count<Reject>(8), 1);
    h.request(9, 2);
    EXPECT_EQ(h.count<Take>(9), 1);
}

}  // namespace
