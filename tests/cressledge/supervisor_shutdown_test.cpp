// The end of a supervisor and of its processes, at every moment of their lives, under load on both frontends. Guards
// against connections that the system accepts on a listening socket which no process serves any more.
#include <sys/stat.h>

#include "supervisor_fixture.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE(
    "supervisor shutdown: requests that reach the machine after the notice are answered until callers are "
    "refused") {
    for (const int signal : {SIGTERM, SIGINT}) {
        SupervisorFixture fixture({.process_count = 2});
        fixture.wait_until_serving();
        fixture.load->start();
        fixture.run_for(Duration(200'000));
        fixture.supervisor->send_signal(signal);
        fixture.run_for(Duration(200'000));
        // A second notice changes nothing.
        fixture.supervisor->send_signal(signal);
        fixture.expect_clean_end();
    }
}

TEST_CASE("supervisor shutdown: requests that wait for the first process to be ready are answered") {
    SupervisorFixture fixture({.before_program = "sleep 0.6"});
    fixture.load->start();
    fixture.run_for(Duration(200'000));
    fixture.supervisor->send_signal(SIGTERM);
    fixture.run_for(Duration(100'000));
    fixture.supervisor->send_signal(SIGTERM);
    fixture.expect_clean_end();
}

TEST_CASE("supervisor shutdown: requests that wait for a crashed process are answered") {
    SupervisorFixture fixture({.back_off_ms = 20'000});
    fixture.wait_until_serving();
    ::kill(fixture.serving_pid(), SIGKILL);
    fixture.test_loop.run_until([&] { return fixture.processes()[0]["serving"] == 0; }, false);
    fixture.load->start();
    fixture.run_for(Duration(200'000));
    fixture.supervisor->send_signal(SIGTERM);
    fixture.expect_clean_end();
}

TEST_CASE("supervisor shutdown: a change of the program that is under way loses no request") {
    SupervisorFixture fixture({});
    const std::string slow = fixture.write_program("slow", "sleep 0.4");
    fixture.wait_until_serving();
    fixture.load->start();
    fixture.run_for(Duration(100'000));
    fixture.change_program(slow);
    // The successor is ended before, while and after it starts to listen.
    const Duration delay(GENERATE(0, 380'000, 420'000));
    fixture.run_for(delay);
    fixture.supervisor->send_signal(SIGTERM);
    fixture.expect_clean_end();
}

TEST_CASE("supervisor shutdown: the notice comes while the predecessor of a new process drains") {
    SupervisorFixture fixture({});
    const std::string second = fixture.write_program("second", "");
    fixture.wait_until_serving();
    fixture.load->start();
    fixture.change_program(second);
    fixture.wait_until_serving(second);
    fixture.supervisor->send_signal(SIGTERM);
    fixture.expect_clean_end();
}

TEST_CASE("supervisor shutdown: the processes of a killed supervisor answer until callers are refused") {
    SupervisorFixture fixture({});
    fixture.wait_until_serving();
    const int pid = fixture.serving_pid();
    fixture.load->start();
    fixture.supervisor->send_signal(SIGKILL);
    fixture.wait_for_exit();
    fixture.run_for(Duration(200'000));
    CHECK(fixture.load->count(CallOutcome::refused) == 0);
    ::kill(pid, SIGTERM);
    fixture.test_loop.run_until([&] { return has_ended(pid); }, false);
    fixture.expect_refused_without_loss();
}

TEST_CASE("supervisor shutdown: a process that outlasts drained_ms is killed, and callers are refused then") {
    SupervisorFixture fixture({.stop_ms = 500, .drained_ms = 800});
    fixture.wait_until_serving();
    const int pid = fixture.serving_pid();
    ::kill(pid, SIGSTOP);
    fixture.supervisor->send_signal(SIGTERM);
    fixture.wait_for_exit();
    CHECK(fixture.supervisor->exit_status() == 0);
    CHECK(has_ended(pid));
    fixture.load->send_to_all();
    fixture.load->finish();
    CHECK(fixture.load->count(CallOutcome::refused) == fixture.targets.size());
}

TEST_CASE("supervisor: a hand-over refuses and loses nothing, and leaves no process and no descriptor") {
    SupervisorFixture fixture({});
    const std::string second = fixture.write_program("second", "");
    fixture.wait_until_serving();
    const int first_pid = fixture.serving_pid();
    const auto supervisor_descriptors = [&] { return descriptor_count(fixture.supervisor->pid()); };
    const std::size_t descriptors_before = supervisor_descriptors();
    fixture.load->start();
    fixture.change_program(second);
    fixture.wait_until_serving(second);
    fixture.test_loop.run_until([&] { return has_ended(first_pid); }, false);
    CHECK(fixture.load->count(CallOutcome::refused) == 0);
    fixture.expect_nothing_lost();
    fixture.test_loop.run_until([&] { return supervisor_descriptors() <= descriptors_before; }, false);
    fixture.supervisor->send_signal(SIGTERM);
    fixture.expect_clean_end();
}

TEST_CASE("supervisor: a process that ended without a request is started again, and no caller is refused") {
    // SIGKILL loses what the process had read; at SIGTERM from another hand it answers that first.
    const int signal = GENERATE(SIGKILL, SIGTERM);
    SupervisorFixture fixture({});
    fixture.wait_until_serving();
    if (signal == SIGTERM)
        fixture.load->start();
    ::kill(fixture.serving_pid(), signal);
    fixture.run_for(Duration(100'000));
    if (signal == SIGKILL)
        fixture.load->start();
    fixture.wait_until_serving("", 2);
    fixture.run_for(Duration(100'000));
    CHECK(fixture.load->count(CallOutcome::refused) == 0);
    CHECK(fixture.processes()[0]["crashes"] == 1);
    fixture.expect_nothing_lost();
    fixture.supervisor->send_signal(SIGTERM);
    fixture.expect_clean_end();
}

TEST_CASE("serve: a notice that comes during the start ends the process gracefully") {
    TestLoop test_loop;
    TemporaryDirectory directory;
    directory.write_file("servers.csv", "name,address,protocol,group\nup,127.0.0.1:9,scgi,maps\n");
    const std::string operator_file = directory.path + "/operator.yaml";
    // The process waits here until the file is written.
    REQUIRE(::mkfifo(operator_file.c_str(), 0600) == 0);
    directory.files.push_back(operator_file);
    fault_injection::ChildProcess process(test_loop.loop,
                                          {CRESSLEDGE_PROGRAM, "serve", "--operator", operator_file},
                                          directory.write_file("serve.log", ""));
    std::ofstream file(operator_file);
    process.send_signal(SIGTERM);
    file << "listen: {http: \"127.0.0.1:0\"}\ninventory: servers.csv\ncores: 1\nstop_ms: 700\nclasses:\n"
            "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n";
    file.close();
    test_loop.run_until([&] { return !process.is_running(); });
    CHECK(process.exit_status() == 0);
}

}  // namespace
