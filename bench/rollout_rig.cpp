// Rolls with real processes on loopback under steady load. Bounded in count and time; everything it starts it ends. A
// line of JSON for each.
//
//   rollout_rig good|settings|tail|errors|crash|refusals|never|noise|cut|kills [--processes 20] [--program build/cressledge]
//            [--faulty build-plain/cressledge_faulty]
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>

#include "experiment/rollout_testbed.hpp"

namespace {

using namespace cressledge;
using nlohmann::json;
using nlohmann::ordered_json;

void say(const ordered_json& j) {
    std::printf("%s\n", j.dump().c_str());
    std::fflush(stdout);
}

ordered_json judged(experiment::RolloutTestbed& r, const std::string& plan, int status) {
    ordered_json j = {{"status", status}};
    const json report = r.report(plan);
    if (!report.is_object())
        return j;
    j["phase"] = report["phase"];
    j["why"] = report["why"];
    j["stages"] = report["stages"].size();
    j["holds"] = ordered_json::array();
    for (const auto& s : report["stages"])
        for (const auto& h : s["holds"])
            j["holds"].push_back(h.get<std::string>());
    if (report["phase"] == "reverted")
        j["reverted_after_ms"] = (report["samples"].back()["at_us"].get<std::int64_t>() -
                                  report["stages"].back()["ended_us"].get<std::int64_t>()) /
                                 1000;
    return j;
}

// One roll from beginning to end.
void one(experiment::RolloutTestbed& r, const std::string& what, const std::string& change, double most_s) {
    const std::string plan = r.write_plan(what, change);
    r.reset_exposure();
    const auto before = r.driver().total_stats();
    const auto controller = r.start_controller(plan);
    if (what == "noise") {  // a neighbour on the cores, and a death that nobody is to blame for
        r.run(6.0);
        r.kill_process("n7");
    }
    if (what == "cut") {
        for (int i = 0; i < 3; ++i) {
            r.run(8.0);
            r.supervisor_link(1).set_cut(true);
            r.run(6.0);
            r.supervisor_link(1).set_cut(false);
            for (std::size_t s = 0; s < 4; ++s)
                r.supervisor_link(s).set_connection_loss(0.1);
        }
    }
    const int status = r.wait(*controller, most_s);
    ordered_json j = {{"what", what}};
    j.update(judged(r, plan, status));
    j["met"] = std::round(r.exposure() * 1e4) / 1e4;
    j["astray"] = r.find_inconsistency(plan, true);
    const auto after = r.driver().total_stats();
    j["requests"] = after.total() - before.total();
    j["lost"] = after.count(load_generator::Outcome::connection_lost) -
                before.count(load_generator::Outcome::connection_lost);
    j["doubled"] = r.servers().counters().duplicates;
    say(j);
}

void kills(experiment::RolloutTestbed& r, int times, std::uint64_t seed) {
    pcg32 random(seed, 31);
    int resumed = 0, astray = 0, done = 0, reverted = 0;
    for (int k = 0; k < times; ++k) {
        // Settings and programs in turn, good and bad ones; each roll begins where the one before has ended.
        const bool program = k % 4 >= 2, bad = k % 4 == 3;
        const std::string name = "kill" + std::to_string(k), settings = name + "-settings.yaml";
        std::string change = "{program: " +
                             r.faulty_program(bad          ? "never"
                                              : k % 8 == 2 ? "none"
                                                           : "also-none") +
                             '}';
        if (!program) {
            const std::string path = r.write_plan(name, "{}");
            std::ofstream(path.substr(0, path.rfind('/') + 1) + settings)
                << "routing: {hedging: " << (k % 8 < 4 ? "true" : "false") << "}\n";
            change = "{settings: " + settings + '}';
        }
        const std::string plan = r.write_plan(name, change);
        auto controller = r.start_controller(plan);
        const double at = 0.1 + 7.0 * (random() / 4294967296.0);
        r.run(at);
        const bool running = controller->is_running();
        controller->send_signal(SIGKILL);
        r.wait(*controller, 10.0);
        const std::string mixed = r.find_inconsistency(plan, false);
        auto again = r.start_controller(plan);
        const int status = r.wait(*again, 120.0);
        const std::string end = r.find_inconsistency(plan, true);
        resumed += running ? 1 : 0;
        astray += mixed.empty() && end.empty() ? 0 : 1;
        done += status == 0 ? 1 : 0;
        reverted += status == 1 ? 1 : 0;
        say({{"what", name},
             {"killed_at_s", std::round(at * 100) / 100},
             {"was_running", running},
             {"status", status},
             {"astray", mixed},
             {"at_end", end}});
    }
    say({{"what", "kills"},
         {"times", times},
         {"killed_while_running", resumed},
         {"done", done},
         {"reverted", reverted},
         {"astray", astray}});
}

}  // namespace

int main(int argc, char** argv) {
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
    try {
        const auto given = options.parse(argc, argv);
        experiment::TestbedSpec scene;
        scene.program = std::filesystem::canonical(given["program"].as<std::string>());
        scene.faulty_program = std::filesystem::canonical(given["faulty"].as<std::string>());
        scene.processes = given["processes"].as<std::size_t>();
        scene.request_rate_s = given["rate"].as<double>();
        scene.bake_s = given["bake"].as<double>();
        scene.seed = given["seed"].as<std::uint64_t>();
        const auto all = given["what"].as<std::vector<std::string>>();
        if (all.size() == 1 && all[0] == "kills") {
            scene.stages = "[1, 50%, 100%]";
            scene.bake_s = 1.0;
            scene.observation_interval_ms = 200;
            scene.min_requests = 20.0;
        }
        char name[] = "/tmp/roll-rig-XXXXXX";
        const bool keep = given.count("keep") != 0;
        scene.directory = keep ? given["keep"].as<std::string>() : mkdtemp(name);
        std::filesystem::create_directories(scene.directory);
        {
            base::TimerQueue timers;
            net::Loop loop(timers);
            experiment::RolloutTestbed r(loop, timers, scene);
            r.start_fleet();
            r.run(3.0);
            std::ofstream(scene.directory + "/good-settings.yaml") << "routing: {policy: probe-pool}\n";
            for (const std::string& what : all) {
                if (what == "kills")
                    kills(r, given["times"].as<int>(), scene.seed);
                else if (what == "settings")
                    one(r, what, "{settings: good-settings.yaml}", 600.0);
                else if (what == "good" || what == "noise" || what == "cut")
                    one(r, what,
                        "{program: " + r.faulty_program(what == "good" ? "none" : what + "-none") + '}',
                        600.0);
                else
                    one(r, what, "{program: " + r.faulty_program(what) + '}', 600.0);
            }
            const std::string wrong = r.drain(15.0);
            say({{"what", "all requests"},
                 {"sent", r.driver().sent()},
                 {"ended", r.driver().total_stats().total()},
                 {"record", r.driver().total_stats().to_json()},
                 {"wrong", wrong}});
        }
        if (!keep)
            std::filesystem::remove_all(scene.directory);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "rollout_rig: %s\n", e.what());
        return 2;
    }
    return 0;
}
