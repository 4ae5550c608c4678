// The limiter of dependency calls: quotas, timeouts and skipped calls.
#include <gtest/gtest.h>

#include <algorithm>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(DependencyLimiterTest, CallsInFlightStayUnderTheQuota) {
    Settings settings = test_settings();
    settings.dependency_call_quota = 2;
    settings.max_runnable_per_core = 40;
    settings.memory_kb = 1e6;
    RecordingHost host(settings);
    for (RequestId id = 1; id <= 8; ++id) {
        host.request(id, 2);
        host.send(DependencyCallRequested{id});
    }
    long calls = 0;
    for (RequestId id = 1; id <= 8; ++id)
        calls += host.count<CallDependency>(id);
    EXPECT_EQ(calls, 2);
}

// Guards against overload of the dependency: 300 servers with a quota of half a call had one in flight each.
TEST(DependencyLimiterTest, QuotaBelowOneCallLimitsTheCallSeconds) {
    Settings settings = test_settings();
    settings.dependency_call_quota = 0.5;
    settings.classes[0].latency_objective = 4s;  // long enough for a call that exceeds the quota
    settings.classes[0].answer_deadline = 8s;
    settings.max_runnable_per_core = 400;
    settings.memory_kb = 1e6;
    settings.abandoned_call_grace = 200ms;
    RecordingHost host(settings);
    std::vector<std::pair<Timestamp, Timestamp>> calls;  // start and end of calls that are never answered
    std::size_t seen = 0;
    RequestId id = 0;
    for (int i = 0; i < 60; ++i) {
        for (int k = 0; k < 4; ++k) {
            host.request(++id, 0);
            if (host.count<StartRun>(id))
                host.send(DependencyCallRequested{id});
        }
        for (Timestamp until = host.now + 500ms; seen < host.recorded_actions.size(); ++seen)
            if (std::holds_alternative<CallDependency>(host.recorded_actions[seen])) {
                // A copy, because recorded_actions grows below.
                const CallDependency issued_call = std::get<CallDependency>(host.recorded_actions[seen]);
                calls.push_back({host.now, host.now + issued_call.timeout + settings.abandoned_call_grace});
                host.advance_until(host.now + issued_call.timeout);
                host.send(DependencyCallFinished{issued_call.id, Outcome::timeout, 400ms});
                host.advance_until(std::max(host.now, until));
            }
        host.advance_until(host.now + 100ms);
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

// Guards against runs that reach their call and then wait for it until their deadline has passed.
TEST(DependencyLimiterTest, CallsThatRunsAheadWillMakeCountAtAdmission) {
    Settings settings = test_settings();
    settings.dependency_call_quota = 0.3;
    settings.classes[2].calls_dependency = false;
    settings.classes[0] = {"call", Idempotency::always, 1.0, 0.0, 1s, 4s, 0s, true, 0.0};
    settings.cores = 16;
    settings.max_runnable_per_core = 40;
    settings.memory_kb = 1e6;
    RecordingHost host(settings);
    for (RequestId id = 1; id <= 3; ++id) {  // each call takes 300 ms; the quota refills 135 ms per second
        host.request(id, 0);
        host.send(DependencyCallRequested{id});
        host.advance_until(host.now + 300ms);
        if (host.count<CallDependency>(id))
            host.send(DependencyCallFinished{id, Outcome::ok, 300ms});
        host.send(RunFinished{id, Outcome::ok});
    }
    host.advance_until(host.now + 10s);
    for (RequestId id = 11; id <= 30; ++id)
        host.request(id, 0);
    long admitted = 0;
    for (RequestId id = 11; id <= 30; ++id)
        admitted += host.count<StartRun>(id);
    EXPECT_GE(admitted, 1);
    EXPECT_LE(admitted, 5);  // there are cores for all, but calls for few
    host.request(31, 2);  // makes no call
    EXPECT_EQ(host.count<StartRun>(31), 1);
}

TEST(DependencyLimiterTest, WithoutQuotaCallsAreSkippedOrAnswered) {
    Settings settings = test_settings();
    settings.dependency_call_quota = 0;
    RecordingHost host(settings);
    host.request(1, 0);
    host.send(DependencyCallRequested{1});
    host.advance_until(1900ms);
    EXPECT_EQ(host.count<CallDependency>(1), 0);
    EXPECT_EQ(host.count<SkipDependencyCall>(1) + host.answer_count(1), 1);
}

TEST(DependencyLimiterTest, CallIsSkippedInTimeForTheAnswer) {
    Settings settings = test_settings();
    settings.dependency_call_quota = 1;
    RecordingHost host(settings);
    for (RequestId id = 1; id <= 2; ++id) {
        host.request(id, 0);
        host.send(DependencyCallRequested{id});
    }
    EXPECT_EQ(host.count<CallDependency>(2), 0);
    host.advance_until(1880ms);
    EXPECT_EQ(host.count<SkipDependencyCall>(2), 1);
    EXPECT_EQ(host.answer_count(2), 0);
}

// Guards against calls that end too late to be used: half of the calls in flight were of that kind.
TEST(DependencyLimiterTest, CallThatCannotReturnInTimeIsNotMade) {
    Settings settings = test_settings();
    settings.dependency_call_quota = 1;
    settings.max_runnable_per_core = 40;
    settings.memory_kb = 1e6;
    RecordingHost host(settings);
    host.request(1, 2);
    host.send(DependencyCallRequested{1});
    host.advance_until(1500ms);
    host.send(DependencyCallFinished{1, Outcome::ok, 500ms});
    host.send(RunFinished{1, Outcome::ok});
    host.request(2, 2);
    host.request(3, 2);
    host.send(DependencyCallRequested{2});
    host.send(DependencyCallRequested{3});
    ASSERT_EQ(host.count<CallDependency>(3), 0);  // queued behind the call of request 2
    host.advance_until(2200ms);
    // Request 3 has 220 ms left, and a call takes half a second.
    host.send(DependencyCallFinished{2, Outcome::ok, 700ms});
    EXPECT_EQ(host.count<CallDependency>(3), 0);
    EXPECT_EQ(host.count<Fail>(3), 1);
}

// Guards against a limit of one call, and idle cores beside forty requests, while other callers slow the dependency.
TEST(DependencyLimiterTest, SlowDependencyKeepsAMinimumOfCalls) {
    Settings settings = test_settings();
    settings.dependency_call_quota = 16;
    settings.max_runnable_per_core = 40;
    settings.memory_kb = 1e6;
    RecordingHost host(settings);
    for (RequestId id = 1; id <= 40; ++id) {
        host.request(id, 2);
        host.send(DependencyCallRequested{id});
        host.send(DependencyCallFinished{id, Outcome::reset, 10ms});
        host.send(RunFinished{id, Outcome::cancelled});
        host.advance_until(host.now + 50ms);
    }
    for (RequestId id = 101; id <= 112; ++id) {
        host.request(id, 2);
        host.send(DependencyCallRequested{id});
    }
    long calls = 0;
    for (RequestId id = 101; id <= 112; ++id)
        calls += host.count<CallDependency>(id);
    EXPECT_GE(calls, 4);
    EXPECT_LE(calls, 16);
}

TEST(DependencyLimiterTest, RequestsAwaitingCallsSkipThemBesideIdleCores) {
    Settings settings = test_settings();
    settings.dependency_call_quota = 1;
    settings.max_runnable_per_core = 4;  // six in flight at most
    settings.memory_kb = 1e6;
    RecordingHost host(settings);
    for (RequestId id = 1; id <= 6; ++id) {
        host.request(id, 0);
        host.send(DependencyCallRequested{id});
    }
    EXPECT_EQ(host.count<CallDependency>(1), 1);
    EXPECT_EQ(host.count<SkipDependencyCall>(6), 0);
    host.request(7, 0);  // queued, because no more may be in flight while both cores idle
    long skips = 0;
    for (RequestId id = 1; id <= 6; ++id)
        skips += host.count<SkipDependencyCall>(id);
    EXPECT_EQ(skips, 1);
    EXPECT_EQ(host.count<SkipDependencyCall>(1), 0);
}

TEST(DependencyLimiterTest, LongWaitsForCallsDoNotPreventRunsThatCanSkipThem) {
    Settings settings = test_settings();
    settings.classes[0].latency_objective = 1s;
    RecordingHost host(settings);
    Timestamp skip_time = host.now;
    for (RequestId id = 1; id <= 20; ++id) {
        host.request(id, 0);
        host.send(DependencyCallRequested{id});
        // The call is skipped, and the run takes longer than the objective.
        host.advance_until(skip_time += 1100ms, 0.1);
        host.send(RunFinished{id, Outcome::ok});
    }
    host.request(99, 0);
    host.request(100, 0);
    host.request(101, 0);
    EXPECT_EQ(host.count<StartRun>(99) + host.count<StartRun>(100), 2);
    EXPECT_EQ(host.answer_count(101), 0);
}

// Guards against requests that fail while their call is in flight: 264 failed at 0.64 s with a deadline at 2.9 s.
TEST(DependencyLimiterTest, SlowCallTimesOutInTimeForTheAnswerWithoutIt) {
    RecordingHost host(test_settings());
    host.request(1, 0);
    host.send(DependencyCallRequested{1});
    const CallDependency* call = host.last<CallDependency>();
    ASSERT_NE(call, nullptr);
    const Duration timeout = call->timeout;  // a copy, because recorded_actions grows below
    EXPECT_GT(timeout, 500ms);
    EXPECT_LT(timeout, 920ms);
    host.advance_until(host.now + timeout);
    EXPECT_EQ(host.answer_count(1), 0);
    host.send(DependencyCallFinished{1, Outcome::timeout, timeout});
    EXPECT_EQ(host.count<SkipDependencyCall>(1), 1);
    EXPECT_EQ(host.answer_count(1), 0);
}

// Guards against higher bands that are rejected because of the calls of lower ones; the score fell from 0.64 to 0.46.
TEST(DependencyLimiterTest, HigherBandsDoNotCountTheCallsOfLowerOnesAhead) {
    Settings settings = test_settings();
    settings.dependency_call_quota = 1;
    settings.max_runnable_per_core = 40;
    settings.memory_kb = 1e6;
    settings.classes[0].skipped_call_weight = 0.0;
    RecordingHost host(settings);
    host.request(1, 2);
    host.send(DependencyCallRequested{1});
    host.advance_until(1300ms);
    host.send(DependencyCallFinished{1, Outcome::ok, 300ms});
    host.send(RunFinished{1, Outcome::ok});
    host.request(20, 2);  // a request runs, so none is admitted as a price probe
    for (RequestId id = 2; id <= 7; ++id) {  // one call in flight and five queued: 1.5 s
        host.request(id, 0);
        host.send(DependencyCallRequested{id});
    }
    host.request(8, 0);
    EXPECT_EQ(host.count<Reject>(8), 1);
    host.request(9, 2);
    EXPECT_EQ(host.count<StartRun>(9), 1);
}

}  // namespace
