// The contract of the admission controller: events at any time, determinism, and the number of timers.
#include <gtest/gtest.h>

#include <algorithm>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(ContractTest, EventsForUnknownRequestsChangeNothing) {
    RecordingHost host(test_settings());
    for (const Event& event : std::vector<Event>{RunFinished{7, Outcome::ok}, DependencyCallRequested{7},
                                                 DependencyCallFinished{7, Outcome::ok, 1ms}, Cancelled{7}})
        EXPECT_TRUE(host.send(event).empty());
}

// No replicas and callers given, quotas of zero, and one core.
TEST(ContractTest, MinimalSettingsAreServed) {
    Settings settings = test_settings();
    settings.replica_count = settings.caller_count = 0;
    settings.tenants = {{"none", 0.0}};
    settings.cores = 1;
    settings.dependency_call_quota = 0;
    RecordingHost host(settings);
    for (RequestId id = 1; id <= 20; ++id) {
        RequestArrived arrival;
        arrival.id = id;
        arrival.class_index = id % 3;
        arrival.tenant_index = 0;
        arrival.reserved_kb = 20;
        host.send(arrival);
    }
    EXPECT_EQ(host.count<StartRun>(3), 1);  // an answer without the unavailable call has value
    host.advance_until(20s);
    for (RequestId id = 1; id <= 20; ++id)
        EXPECT_GE(host.answer_count(id), 1) << id;  // no run finished, but every request is answered
}

TEST(ContractTest, TimeGoingBackwardsIsHarmless) {
    RecordingHost host(test_settings());
    host.request(1, 0);
    host.now = Timestamp(200ms);
    host.request(2, 0);
    host.now = Timestamp(1100ms);
    host.send(RunFinished{1, Outcome::ok});
    EXPECT_EQ(host.count<StartRun>(2), 1);
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

// Guards against expired timers that each request a later one again: 2,200 timers per second after 45 minutes of load.
TEST(TimersTest, RateStaysTheSameOverALongBusyDay) {
    Settings settings = test_settings();
    settings.classes[0].latency_objective =
        300ms;  // its timers fall before the outstanding ones of the other classes
    settings.classes[0].answer_deadline = 900ms;
    RecordingHost host(settings);
    RequestId id = 0;
    const auto minute = [&] {
        const std::size_t before = host.recorded_actions.size();
        for (int i = 0; i < 600; ++i) {
            ++id;
            host.request(id, id % 3);
            host.advance_until(host.now + 100ms);
            if (id > 3)
                host.send(RunFinished{id - 3, Outcome::ok});
        }
        return std::count_if(host.recorded_actions.begin() + static_cast<std::ptrdiff_t>(before),
                             host.recorded_actions.end(),
                             [](const Action& a) { return std::holds_alternative<ScheduleTimer>(a); });
    };
    const auto first = minute();
    for (int i = 0; i < 8; ++i)
        minute();
    EXPECT_LE(minute(), first + first / 10);
    EXPECT_LE(host.pending_timers.size(), 4U);
}

}  // namespace
