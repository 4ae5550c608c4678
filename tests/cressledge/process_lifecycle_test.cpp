/// Unit tests of the lifecycle of one supervised process.
#include "supervisor/process_lifecycle.hpp"

#include <csignal>
#include <string>
#include <vector>

#include "rollout_fixture.hpp"
#include "supervisor/child_process.hpp"

namespace {

using namespace cressledge::testing;
using supervisor::ChangeStatus, supervisor::LifecycleAction, supervisor::ProcessLifecycle;

const char* name_of(LifecycleAction::Type type) {
    switch (type) {
        case LifecycleAction::Type::start:
            return "start";
        case LifecycleAction::Type::reload_settings:
            return "reload";
        case LifecycleAction::Type::restore_settings:
            return "restore";
        case LifecycleAction::Type::hand_over:
            return "hand-over";
        case LifecycleAction::Type::terminate:
            return "terminate";
        case LifecycleAction::Type::kill:
            return "kill";
    }
    return "";
}

struct LifecycleFixture {
    /// Returns and clears the actions since the last call, each as "TYPE GENERATION SPEC;".
    std::string take_actions() {
        std::string text;
        for (const LifecycleAction& action : actions)
            text += std::string(name_of(action.type)) + ' ' + std::to_string(action.generation) + ' ' +
                    action.spec.program + action.spec.overlay + ';';
        actions.clear();
        return text;
    }

    ProcessLifecycle lifecycle{{"old", ""}, {}};
    ProcessLifecycle::Actions actions;
};

}  // namespace

TEST_CASE(
    "process lifecycle: a new program takes over when it is ready, and the old one continues if it is "
    "not") {
    LifecycleFixture fixture;
    fixture.lifecycle.start_current(seconds(0), fixture.actions);
    CHECK(fixture.take_actions() == "start 1 old;");
    fixture.lifecycle.request_spec(seconds(0), {"new", ""}, fixture.actions);
    // The change waits, because no process is ready that could continue if it failed.
    CHECK(fixture.take_actions().empty());
    fixture.lifecycle.on_ready(seconds(1), 1, fixture.actions);
    CHECK(fixture.take_actions() == "start 2 new;");
    CHECK((fixture.lifecycle.serving_generation() == 1 &&
           fixture.lifecycle.change_status() == ChangeStatus::in_progress));
    fixture.lifecycle.on_ready(seconds(2), 2, fixture.actions);
    CHECK(fixture.take_actions() == "hand-over 1 ;");
    CHECK((fixture.lifecycle.serving_generation() == 2 && fixture.lifecycle.active_spec().program == "new" &&
           fixture.lifecycle.change_status() == ChangeStatus::succeeded));
    // The exit of the drained process is not a crash.
    fixture.lifecycle.on_exited(seconds(4), 1, fixture.actions);
    CHECK((fixture.take_actions().empty() && fixture.lifecycle.crash_count() == 0));
    fixture.lifecycle.request_spec(seconds(5), {"bad", ""}, fixture.actions);
    fixture.actions.clear();
    fixture.lifecycle.on_exited(seconds(5.1), 3, fixture.actions);
    CHECK(fixture.take_actions() == "restore 0 new;");
    CHECK((fixture.lifecycle.serving_generation() == 2 &&
           fixture.lifecycle.change_status() == ChangeStatus::failed &&
           fixture.lifecycle.requested_spec().program == "new"));
    fixture.lifecycle.request_spec(seconds(6), {"slow", ""}, fixture.actions);
    fixture.actions.clear();
    CHECK(fixture.lifecycle.next_deadline() == seconds(16));
    fixture.lifecycle.on_timer(seconds(16), fixture.actions);
    CHECK(fixture.take_actions() == "kill 4 ;restore 0 new;");
    fixture.lifecycle.on_exited(seconds(16.1), 4, fixture.actions);
    CHECK((fixture.lifecycle.serving_generation() == 2 && fixture.lifecycle.crash_count() == 0));
    fixture.lifecycle.request_spec(seconds(17), {"other", ""}, fixture.actions);
    fixture.actions.clear();
    // The request is withdrawn while its process starts.
    fixture.lifecycle.request_spec(seconds(17.1), {"new", ""}, fixture.actions);
    fixture.lifecycle.on_ready(seconds(18), 5, fixture.actions);
    CHECK(fixture.take_actions() == "hand-over 2 ;start 6 new;");
}

TEST_CASE(
    "process lifecycle: crashes are restarted with growing backoff, and settings are applied or restored") {
    LifecycleFixture fixture;
    fixture.lifecycle.start_current(seconds(0), fixture.actions);
    fixture.lifecycle.on_ready(seconds(1), 1, fixture.actions);
    fixture.actions.clear();
    fixture.lifecycle.request_spec(seconds(2), {"old", "a: 1"}, fixture.actions);
    CHECK(fixture.take_actions() == "reload 1 olda: 1;");
    fixture.lifecycle.on_settings_applied(seconds(2.5), false, "line 3", fixture.actions);
    CHECK(fixture.take_actions() == "restore 0 old;");
    CHECK((fixture.lifecycle.change_status() == ChangeStatus::failed &&
           fixture.lifecycle.change_error() == "line 3" && fixture.lifecycle.active_spec().overlay.empty()));
    fixture.lifecycle.request_spec(seconds(3), {"old", "a: 2"}, fixture.actions);
    fixture.lifecycle.on_settings_applied(seconds(3.5), true, "", fixture.actions);
    fixture.actions.clear();
    CHECK(fixture.lifecycle.active_spec().overlay == "a: 2");
    Duration backoff{0};
    for (std::uint64_t generation = 1; generation <= 3; ++generation) {
        const double at = 10.0 * static_cast<double>(generation);
        fixture.lifecycle.on_exited(seconds(at), generation, fixture.actions);
        CHECK(fixture.lifecycle.serving_generation() == 0);
        CHECK(fixture.lifecycle.next_deadline() - seconds(at) > backoff);
        backoff = fixture.lifecycle.next_deadline() - seconds(at);
        fixture.lifecycle.on_timer(fixture.lifecycle.next_deadline(), fixture.actions);
        CHECK(fixture.take_actions() == "start " + std::to_string(generation + 1) + " olda: 2;");
        fixture.lifecycle.on_ready(seconds(at + 2), generation + 1, fixture.actions);
    }
    CHECK((fixture.lifecycle.crash_count() == 3 && fixture.lifecycle.start_count() == 4));
    fixture.lifecycle.shut_down(seconds(50), fixture.actions);
    CHECK(fixture.take_actions() == "terminate 4 ;");
    fixture.lifecycle.on_exited(seconds(51), 4, fixture.actions);
    CHECK((fixture.lifecycle.is_finished() && fixture.lifecycle.crash_count() == 3));
}

TEST_CASE("process lifecycle: a shutdown awaits a process that serves, and ends every process then") {
    // Before the first process is ready, a second request included.
    LifecycleFixture starting;
    starting.lifecycle.start_current(seconds(0), starting.actions);
    starting.actions.clear();
    starting.lifecycle.shut_down(seconds(1), starting.actions);
    starting.lifecycle.shut_down(seconds(1.5), starting.actions);
    CHECK((starting.take_actions().empty() && !starting.lifecycle.is_finished()));
    starting.lifecycle.on_ready(seconds(2), 1, starting.actions);
    CHECK(starting.take_actions() == "terminate 1 ;");
    CHECK(starting.lifecycle.next_deadline() == seconds(12));
    starting.lifecycle.on_timer(seconds(12), starting.actions);
    CHECK(starting.take_actions() == "kill 1 ;");
    starting.lifecycle.on_exited(seconds(12.1), 1, starting.actions);
    CHECK((starting.lifecycle.is_finished() && starting.actions.empty()));

    // A process that is never ready is killed as without a shutdown, and not started again.
    LifecycleFixture never;
    never.lifecycle.start_current(seconds(0), never.actions);
    never.lifecycle.shut_down(seconds(1), never.actions);
    never.actions.clear();
    CHECK(never.lifecycle.next_deadline() == seconds(10));
    never.lifecycle.on_timer(seconds(10), never.actions);
    CHECK(never.take_actions() == "kill 1 ;");
    never.lifecycle.on_exited(seconds(10.1), 1, never.actions);
    CHECK((never.lifecycle.is_finished() && never.actions.empty()));

    // While a crashed process waits for its restart, and while its successor starts.
    for (const bool has_successor : {false, true}) {
        LifecycleFixture crashed;
        crashed.lifecycle.start_current(seconds(0), crashed.actions);
        crashed.lifecycle.on_ready(seconds(1), 1, crashed.actions);
        if (has_successor)
            crashed.lifecycle.request_spec(seconds(2), {"new", ""}, crashed.actions);
        crashed.lifecycle.on_exited(seconds(2.5), 1, crashed.actions);
        crashed.actions.clear();
        crashed.lifecycle.shut_down(seconds(2.6), crashed.actions);
        CHECK(crashed.take_actions() == (has_successor ? "" : "start 2 old;"));
        crashed.lifecycle.on_ready(seconds(3), 2, crashed.actions);
        CHECK(crashed.take_actions() == "terminate 2 ;");
        crashed.lifecycle.on_exited(seconds(4), 2, crashed.actions);
        CHECK(crashed.lifecycle.is_finished());
    }

    // While a change is under way the serving process and its successor end at once.
    LifecycleFixture changing;
    changing.lifecycle.start_current(seconds(0), changing.actions);
    changing.lifecycle.on_ready(seconds(1), 1, changing.actions);
    changing.lifecycle.request_spec(seconds(2), {"new", ""}, changing.actions);
    changing.actions.clear();
    changing.lifecycle.shut_down(seconds(3), changing.actions);
    CHECK(changing.take_actions() == "terminate 1 ;terminate 2 ;");
    changing.lifecycle.on_ready(seconds(3.1), 2, changing.actions);
    CHECK(changing.actions.empty());
}

// Its process id is 0, which kill() takes for the supervisor's own process group.
TEST_CASE("supervisor child: a signal to a program that could not be started reaches no process") {
    TestLoop test_loop;
    int signals_received = 0;
    // Ignored by every process without a handler.
    test_loop.loop.on_signal(SIGURG, [&] { ++signals_received; });
    supervisor::ChildProcess child(1, supervisor::ListeningSocket("127.0.0.1:0"));
    const int error = child.spawn(test_loop.loop.uv(), {{"/nowhere/cressledge"}, {}, ""}, {});
    CHECK(error != 0);
    child.send_signal(SIGURG);
    bool is_closed = false;
    child.close([&] { is_closed = true; });
    test_loop.run_until([&] { return is_closed; });
    CHECK(signals_received == 0);
}
