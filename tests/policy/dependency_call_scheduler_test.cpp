// Calls of requests that no longer need one, because they have been answered or their caller has left.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

constexpr std::size_t read_class = 0, enter_class = 2;
constexpr Outcome call_failures[] = {Outcome::error, Outcome::rejected, Outcome::timeout,
                                     Outcome::connect_failed, Outcome::reset};

/// Settings in which an answer has value after the objective and without the call, so that only the end of the run
/// takes a request out of the call queue.
Settings settings_with_late_and_skippable_calls() {
    Settings settings = test_settings();
    settings.classes[enter_class].late_priority_weight = 0.2;
    settings.classes[enter_class].skipped_call_weight = 0.6;
    return settings;
}

/// Starts request 1 of a class and sends its call.
void start_call(RecordingHost& host, std::size_t class_index) {
    host.request(1, class_index);
    host.send(DependencyCallRequested{1});
    ASSERT_EQ(host.count<CallDependency>(1), 1);
}

/// Checks that request 1 made no further call and skipped none, neither at once nor later.
void expect_no_further_call(RecordingHost& host) {
    host.advance_until(host.now + 10s, 0.0);
    EXPECT_EQ(host.count<CallDependency>(1), 1);
    EXPECT_EQ(host.count<SkipDependencyCall>(1), 0);
}

// Guards against a process that handles one event for ever: the call was queued again, prevented as it may have had
// its effect, and queued again.
TEST(DependencyCallSchedulerTest, FailedCallOfACancelledRequestIsNotMadeAgain) {
    for (const std::size_t class_index : {read_class, enter_class})
        for (const Outcome outcome : call_failures) {
            RecordingHost host(settings_with_late_and_skippable_calls());
            start_call(host, class_index);
            host.send(Cancelled{1});
            host.send(DependencyCallFinished{1, outcome, 30ms});
            expect_no_further_call(host);
        }
}

TEST(DependencyCallSchedulerTest, FailedCallOfAnAnsweredRequestIsNotMadeAgain) {
    for (const std::size_t class_index : {read_class, enter_class})
        for (const Outcome outcome : call_failures) {
            RecordingHost host(settings_with_late_and_skippable_calls());
            start_call(host, class_index);
            host.advance_until(host.now + 5s);
            ASSERT_EQ(host.answer_count(1), 1);
            host.send(DependencyCallFinished{1, outcome, 5s});
            expect_no_further_call(host);
            EXPECT_EQ(host.answer_count(1), 1);
        }
}

// Guards against calls for runs that are over: the engine's notice of a call and the caller's close cross each other.
TEST(DependencyCallSchedulerTest, RunThatReachesItsCallAfterTheCallerHasLeftMakesNone) {
    for (const std::size_t class_index : {read_class, enter_class}) {
        RecordingHost host(settings_with_late_and_skippable_calls());
        host.request(1, class_index);
        host.send(Cancelled{1});
        host.send(DependencyCallRequested{1});
        host.advance_until(host.now + 10s, 0.0);
        EXPECT_EQ(host.count<CallDependency>(1), 0);
        EXPECT_EQ(host.count<SkipDependencyCall>(1), 0);
        EXPECT_EQ(host.answer_count(1), 0);
    }
}

TEST(DependencyCallSchedulerTest, CancelledRequestDoesNotRetryALaterCall) {
    RecordingHost host(settings_with_late_and_skippable_calls());
    start_call(host, read_class);
    host.send(DependencyCallFinished{1, Outcome::rejected, 1ms});
    host.send(Cancelled{1});
    expect_no_further_call(host);
}

// The reverse: a request whose caller still waits makes its call again when that is allowed.
TEST(DependencyCallSchedulerTest, WaitingRequestRetriesARejectedCall) {
    for (const std::size_t class_index : {read_class, enter_class}) {
        RecordingHost host(settings_with_late_and_skippable_calls());
        start_call(host, class_index);
        host.send(DependencyCallFinished{1, Outcome::rejected, 1ms});
        host.advance_until(host.now + 100ms);
        EXPECT_EQ(host.count<CallDependency>(1), 2);
    }
}

TEST(DependencyCallSchedulerTest, FailedCallOfACancelledRequestFreesItsQuota) {
    Settings settings = test_settings();
    settings.dependency_call_quota = 1;
    settings.max_runnable_per_core = 40;
    settings.memory_kb = 1e6;
    RecordingHost host(settings);
    start_call(host, enter_class);
    host.request(2, enter_class);
    host.send(DependencyCallRequested{2});
    ASSERT_EQ(host.count<CallDependency>(2), 0);
    host.advance_until(host.now + 100ms);
    host.send(Cancelled{1});
    host.send(DependencyCallFinished{1, Outcome::error, 100ms});
    EXPECT_EQ(host.count<CallDependency>(2), 1);
    host.send(RunFinished{1, Outcome::cancelled});
    EXPECT_EQ(host.count<CallDependency>(2), 1);
}

}  // namespace
