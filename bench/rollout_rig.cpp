// Rollouts on real processes on loopback under steady load: whether a good version is completed and a faulty one
// reverted, how many requests meet the new version, and whether a killed controller resumes. Bounded in count and time;
// every process that it starts is ended.
//
//   rollout_rig good|settings|tail|errors|crash|refusals|never|noise|cut|kills [--processes 20]
//            [--program build/cressledge] [--faulty build-plain/cressledge_faulty]
//
// Prints one JSON object a line for each rollout: times in ms (`*_ms`) or s (`*_s`), `met` as a fraction of the
// requests.
#include <spdlog/spdlog.h>

#include <cmath>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>

#include "experiment/rollout_testbed.hpp"
#include "json_line.hpp"

namespace {

using namespace cressledge;
using bench::print_json_line;
using experiment::RolloutTestbed;
using nlohmann::json;
using nlohmann::ordered_json;

constexpr double rollout_timeout_s = 600.0;
constexpr double resumed_rollout_timeout_s = 120.0;
constexpr double controller_exit_timeout_s = 10.0;
constexpr double warm_up_s = 3.0;
constexpr double drain_timeout_s = 15.0;
/// The controller is killed at a random moment in this interval after its start.
constexpr double first_kill_s = 0.1;
constexpr double kill_interval_s = 7.0;
constexpr std::uint64_t kill_random_stream = 31;
/// Exit codes of the controller.
constexpr int exit_done = 0;
constexpr int exit_reverted = 1;

double round_to(double value, double steps_per_unit) {
    return std::round(value * steps_per_unit) / steps_per_unit;
}

/// The outcome of a rollout by the controller's exit code and report.
ordered_json outcome_of(const RolloutTestbed& testbed, const std::string& plan, int exit_code) {
    ordered_json outcome = {{"status", exit_code}};
    const json report = testbed.report(plan);
    if (!report.is_object())
        return outcome;
    outcome["phase"] = report["phase"];
    outcome["why"] = report["why"];
    outcome["stages"] = report["stages"].size();
    outcome["holds"] = ordered_json::array();
    for (const auto& stage : report["stages"])
        for (const auto& pause_reason : stage["holds"])
            outcome["holds"].push_back(pause_reason.get<std::string>());
    if (report["phase"] == "reverted") {
        const auto reverted_at_us = report["samples"].back()["at_us"].get<std::int64_t>();
        const auto stage_ended_us = report["stages"].back()["ended_us"].get<std::int64_t>();
        outcome["reverted_after_ms"] = (reverted_at_us - stage_ended_us) / 1000;
    }
    return outcome;
}

/// Cuts one supervisor off three times, and breaks off a tenth of the connections to every supervisor.
void inject_network_faults(RolloutTestbed& testbed) {
    constexpr std::size_t supervisors = 4;
    for (int i = 0; i < 3; ++i) {
        testbed.run(8.0);
        testbed.supervisor_link(1).set_cut(true);
        testbed.run(6.0);
        testbed.supervisor_link(1).set_cut(false);
        for (std::size_t supervisor = 0; supervisor < supervisors; ++supervisor)
            testbed.supervisor_link(supervisor).set_connection_loss(0.1);
    }
}

void run_rollout(RolloutTestbed& testbed, const std::string& scenario, const std::string& change) {
    const std::string plan = testbed.write_plan(scenario, change);
    testbed.reset_exposure();
    const auto requests_before = testbed.driver().total_stats();
    const auto controller = testbed.start_controller(plan);
    if (scenario == "noise") {  // a process dies for no fault of the new version
        testbed.run(6.0);
        testbed.kill_process("n7");
    }
    if (scenario == "cut")
        inject_network_faults(testbed);
    const int exit_code = testbed.wait(*controller, rollout_timeout_s);
    ordered_json result = {{"what", scenario}};
    result.update(outcome_of(testbed, plan, exit_code));
    result["met"] = round_to(testbed.exposure(), 1e4);
    result["astray"] = testbed.find_inconsistency(plan, true);
    const auto requests_after = testbed.driver().total_stats();
    result["requests"] = requests_after.total() - requests_before.total();
    result["lost"] = requests_after.count(load_generator::Outcome::connection_lost) -
                     requests_before.count(load_generator::Outcome::connection_lost);
    result["doubled"] = testbed.servers().counters().duplicates;
    print_json_line(result);
}

/// Sums over the rollouts whose controller was killed.
struct KillTotals {
    int killed_while_running = 0;
    int inconsistent = 0;
    int done = 0;
    int reverted = 0;
};

/// Writes the plan of the `index`-th rollout: settings and programs alternate, good and faulty ones.
std::string write_plan(RolloutTestbed& testbed, int index, const std::string& name) {
    const bool changes_program = index % 4 >= 2;
    if (changes_program) {
        const bool is_faulty = index % 4 == 3;
        const std::string fault = is_faulty ? "never" : index % 8 == 2 ? "none" : "also-none";
        return testbed.write_plan(name, "{program: " + testbed.faulty_program(fault) + '}');
    }
    const std::string settings_file = name + "-settings.yaml";
    const std::string plan_path = testbed.write_plan(name, "{}");
    const std::string folder = plan_path.substr(0, plan_path.rfind('/') + 1);
    std::ofstream(folder + settings_file)
        << "routing: {hedging: " << (index % 8 < 4 ? "true" : "false") << "}\n";
    return testbed.write_plan(name, "{settings: " + settings_file + '}');
}

/// Kills the controller of one rollout and starts it again.
void run_killed_rollout(RolloutTestbed& testbed, int index, pcg32& random, KillTotals& totals) {
    const std::string name = "kill" + std::to_string(index);
    const std::string plan = write_plan(testbed, index, name);
    const auto controller = testbed.start_controller(plan);
    const double killed_at_s = first_kill_s + kill_interval_s * (random() / 4294967296.0);
    testbed.run(killed_at_s);
    const bool was_running = controller->is_running();
    controller->send_signal(SIGKILL);
    testbed.wait(*controller, controller_exit_timeout_s);
    const std::string mismatch_after_kill = testbed.find_inconsistency(plan, false);
    const auto resumed_controller = testbed.start_controller(plan);
    const int exit_code = testbed.wait(*resumed_controller, resumed_rollout_timeout_s);
    const std::string mismatch_at_end = testbed.find_inconsistency(plan, true);
    totals.killed_while_running += was_running ? 1 : 0;
    totals.inconsistent += mismatch_after_kill.empty() && mismatch_at_end.empty() ? 0 : 1;
    totals.done += exit_code == exit_done ? 1 : 0;
    totals.reverted += exit_code == exit_reverted ? 1 : 0;
    print_json_line({{"what", name},
                     {"killed_at_s", round_to(killed_at_s, 100)},
                     {"was_running", was_running},
                     {"status", exit_code},
                     {"astray", mismatch_after_kill},
                     {"at_end", mismatch_at_end}});
}

/// Each rollout begins where the one before has ended.
void run_kills(RolloutTestbed& testbed, int count, std::uint64_t seed) {
    pcg32 random(seed, kill_random_stream);
    KillTotals totals;
    for (int i = 0; i < count; ++i)
        run_killed_rollout(testbed, i, random, totals);
    print_json_line({{"what", "kills"},
                     {"times", count},
                     {"killed_while_running", totals.killed_while_running},
                     {"done", totals.done},
                     {"reverted", totals.reverted},
                     {"astray", totals.inconsistent}});
}

void run_scenario(RolloutTestbed& testbed, const std::string& name, const cxxopts::ParseResult& arguments) {
    if (name == "kills")
        run_kills(testbed, arguments["times"].as<int>(), arguments["seed"].as<std::uint64_t>());
    else if (name == "settings")
        run_rollout(testbed, name, "{settings: good-settings.yaml}");
    else if (name == "good")
        run_rollout(testbed, name, "{program: " + testbed.faulty_program("none") + '}');
    else if (name == "noise" || name == "cut")
        run_rollout(testbed, name, "{program: " + testbed.faulty_program(name + "-none") + '}');
    else
        run_rollout(testbed, name, "{program: " + testbed.faulty_program(name) + '}');
}

cxxopts::Options make_options() {
    cxxopts::Options options("rollout_rig", "rolls with real processes");
    options.add_options()("what",
                          "good, settings, tail, errors, crash, refusals, never, noise, cut, kills; several "
                          "may follow each other",
                          cxxopts::value<std::vector<std::string>>())(
        "processes", "", cxxopts::value<std::size_t>()->default_value("20"))(
        "program", "", cxxopts::value<std::string>()->default_value("build/cressledge"))(
        "faulty", "", cxxopts::value<std::string>()->default_value("build-plain/cressledge_faulty"))(
        "rate", "requests a second", cxxopts::value<double>()->default_value("400"))(
        "bake", "s", cxxopts::value<double>()->default_value("20"))(
        "times", "kills: how many", cxxopts::value<int>()->default_value("50"))(
        "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "keep", "a folder for files and logs", cxxopts::value<std::string>());
    options.parse_positional({"what"});
    return options;
}

experiment::TestbedSpec read_scene(const cxxopts::ParseResult& arguments) {
    experiment::TestbedSpec scene;
    scene.program = std::filesystem::canonical(arguments["program"].as<std::string>());
    scene.faulty_program = std::filesystem::canonical(arguments["faulty"].as<std::string>());
    scene.processes = arguments["processes"].as<std::size_t>();
    scene.request_rate_s = arguments["rate"].as<double>();
    scene.bake_s = arguments["bake"].as<double>();
    scene.seed = arguments["seed"].as<std::uint64_t>();
    const auto scenarios = arguments["what"].as<std::vector<std::string>>();
    if (scenarios == std::vector<std::string>{"kills"}) {  // many short rollouts
        scene.stages = "[1, 50%, 100%]";
        scene.bake_s = 1.0;
        scene.observation_interval_ms = 200;
        scene.min_requests = 20.0;
    }
    char temporary_folder[] = "/tmp/roll-rig-XXXXXX";
    scene.directory =
        arguments.count("keep") != 0 ? arguments["keep"].as<std::string>() : mkdtemp(temporary_folder);
    std::filesystem::create_directories(scene.directory);
    return scene;
}

/// The processes are ended when it returns or throws.
void run_scenarios(const experiment::TestbedSpec& scene, const cxxopts::ParseResult& arguments) {
    base::TimerQueue timers;
    net::Loop loop(timers);
    RolloutTestbed testbed(loop, timers, scene);
    testbed.start_fleet();
    testbed.run(warm_up_s);
    std::ofstream(scene.directory + "/good-settings.yaml") << "routing: {policy: probe-pool}\n";
    for (const std::string& name : arguments["what"].as<std::vector<std::string>>())
        run_scenario(testbed, name, arguments);
    const std::string wrong = testbed.drain(drain_timeout_s);
    print_json_line({{"what", "all requests"},
                     {"sent", testbed.driver().sent()},
                     {"ended", testbed.driver().total_stats().total()},
                     {"record", testbed.driver().total_stats().to_json()},
                     {"wrong", wrong}});
}

}  // namespace

int main(int argc, char** argv) {
    try {
        cxxopts::Options options = make_options();
        const auto arguments = options.parse(argc, argv);
        const experiment::TestbedSpec scene = read_scene(arguments);
        run_scenarios(scene, arguments);
        if (arguments.count("keep") == 0)
            std::filesystem::remove_all(scene.directory);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "rollout_rig: %s\n", e.what());
        return 2;
    }
    return 0;
}
