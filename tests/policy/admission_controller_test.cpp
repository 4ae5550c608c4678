// The contract of the admission controller: any event at any time, determinism, its rate of timers.
#include <gtest/gtest.h>

#include <algorithm>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(ContractTest, EventsForUnknownRequestsChangeNothing) {
    RecordingHost h(test_settings());
    for (const Event& e : std::vector<Event>{RunFinished{7, Outcome::ok}, DependencyCallRequested{7},
                                             DependencyCallFinished{7, Outcome::ok, 1ms}, Cancelled{7}})
        EXPECT_TRUE(h.send(e).empty());
}

TEST(ContractTest, ZeroAndOneOfEverythingIsServed) {  // no replicas or callers given, no quota, one core
    Settings s = test_settings();
    s.replica_count = s.caller_count = 0;
    s.tenants = {{"none", 0.0}};
    s.cores = 1;
    s.dependency_call_quota = 0;
    RecordingHost h(s);
    for (RequestId id = 1; id <= 20; ++id) {
        RequestArrived r;
        r.id = id;
        r.class_index = id % 3;
        r.tenant_index = 0;
        r.reserved_kb = 20;
        h.send(r);
    }
    EXPECT_EQ(h.count<Take>(3), 1);  // earns without the call that cannot be had
    h.advance_until(20s);
    for (RequestId id = 1; id <= 20; ++id)
        EXPECT_GE(h.answer_count(id), 1) << id;  // nobody finished: all are answered
}

TEST(ContractTest, TimeGoingBackwardsIsHarmless) {
    RecordingHost h(test_settings());
    h.request(1, 0);
    h.now = Timestamp(200ms);
    h.request(2, 0);
    h.now = Timestamp(1100ms);
    h.send(RunFinished{1, Outcome::ok});
    EXPECT_EQ(h.count<Take>(2), 1);
}

TEST(ContractTest, SameEventsSameActions) {
    RecordingHost a(test_settings()), b(test_settings());
    for (RequestId id = 1; id <= 50; ++id) {
        a.request(id, id % 3);
        b.request(id, id % 3);
    }
    ASSERT_EQ(a.recorded_actions.size(), b.recorded_actions.size());
    for (std::size_t i = 0; i < a.recorded_actions.size(); ++i)
        EXPECT_EQ(a.recorded_actions[i].index(), b.recorded_actions[i].index());
}

// A soak of 45 minutes asked for 2,200 timers a second by its end: each that came asked for a later one again.
TEST(TimersTest, RateStaysTheSameOverALongBusyDay) {
    Settings s = test_settings();
    s.classes[0].latency_objective = 300ms;  // its alarms come before those that stand for the others
    s.classes[0].answer_deadline = 900ms;
    RecordingHost h(s);
    RequestId id = 0;
    const auto minute = [&] {
        const std::size_t before = h.recorded_actions.size();
        for (int i = 0; i < 600; ++i) {
            ++id;
            h.request(id, id % 3);
            h.advance_until(h.now + 100ms);
            if (id > 3)
                h.send(RunFinished{id - 3, Outcome::ok});
        }
        return std::count_if(h.recorded_actions.begin() + static_cast<std::ptrdiff_t>(before),
                             h.recorded_actions.end(),
                             [](const Action& a) { return std::holds_alternative<ScheduleTimer>(a); });
    };
    const auto first = minute();
    for (int i = 0; i < 8; ++i)
        minute();
    EXPECT_LE(minute(), first + first / 10);
    EXPECT_LE(h.wakes.size(), 4U);
}

}  // namespace
