// cressledge_lab: runs load balancing experiments described by YAML files, emulated or with real processes on loopback.
//
//   cressledge_lab run FILE [--program build/cressledge] [--out report.json] [--keep FOLDER]
//   cressledge_lab emulate FILE [--out report.json]
//   cressledge_lab compare REPORT REPORT        the figures of two reports side by side
//   cressledge_lab stand-in FILE                runs only the fake upstreams; commands on standard input
#include <unistd.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "config/node.hpp"
#include "experiment/fake_upstream_service.hpp"
#include "experiment/trial.hpp"

namespace {

using namespace cressledge;
using nlohmann::ordered_json;

ordered_json read_report(const std::string& path) {
    try {
        return ordered_json::parse(config::read_file(path));
    } catch (const nlohmann::json::exception&) {
        throw config::ConfigError(path + ": not a JSON report");
    }
}

/// Prints the figures that two reports have in common. Returns the exit status.
int compare(const std::string& first_path, const std::string& second_path) {
    const ordered_json first = read_report(first_path);
    const ordered_json second = read_report(second_path);
    std::printf("%-18s %14s %14s %8s\n", "", first.value("how", "?").c_str(),
                second.value("how", "?").c_str(), "ratio");
    for (const auto& [name, value] : first.at("figures").items()) {
        if (!second.at("figures").contains(name))
            continue;
        const double a = value.get<double>();
        const double b = second["figures"][name].get<double>();
        std::printf("%-18s %14.4f %14.4f %8.3f\n", name.c_str(), a, b, b == 0.0 ? 0.0 : a / b);
    }
    return 0;
}

/// Prints the figures of a report and writes the complete report to the file `out`, unless that is empty.
void write_report(const ordered_json& report, const std::string& out) {
    std::printf("%s\n", ordered_json{{"how", report["how"]}, {"figures", report["figures"]}}.dump(2).c_str());
    if (out.empty())
        return;
    const std::filesystem::path path(out);
    if (path.has_parent_path())
        std::filesystem::create_directories(path.parent_path());
    std::ofstream(out) << report.dump(1) << '\n';
}

cxxopts::Options command_line() {
    cxxopts::Options options("cressledge_lab", "runs load balancing experiments");
    options.positional_help("run|emulate|compare|stand-in FILE...");
    options.add_options()("command", "", cxxopts::value<std::string>()->default_value(""))(
        "files", "", cxxopts::value<std::vector<std::string>>()->default_value(""))(
        "program", "run: path of cressledge",
        cxxopts::value<std::string>()->default_value("build/cressledge"))(
        "out", "run, emulate: file for the report", cxxopts::value<std::string>()->default_value(""))(
        "keep", "run: folder that keeps the processes' files and logs",
        cxxopts::value<std::string>()->default_value(""))("quiet", "run: print no progress")(
        "h,help", "print this help");
    options.parse_positional({"command", "files"});
    return options;
}

/// Runs an experiment with real processes, in a temporary folder that is removed afterwards or in the folder of --keep.
ordered_json run_with_processes(const experiment::Experiment& experiment, const std::string& file,
                                const cxxopts::ParseResult& arguments) {
    experiment::TrialEnvironment environment;
    environment.program = std::filesystem::absolute(arguments["program"].as<std::string>());
    environment.lab_program = std::filesystem::read_symlink("/proc/self/exe");
    environment.experiment_file = file;
    const auto named_directory = arguments["keep"].as<std::string>();
    char temporary_directory[] = "/tmp/cressledge-lab-XXXXXX";
    environment.directory =
        named_directory.empty() ? std::string(mkdtemp(temporary_directory)) : named_directory;
    std::filesystem::create_directories(environment.directory);
    if (arguments.count("quiet") == 0)
        environment.on_progress = [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); };
    ordered_json report = experiment::run_trial(experiment, environment);
    if (named_directory.empty())
        std::filesystem::remove_all(environment.directory);
    return report;
}

/// Executes the command and returns the exit status.
int run_command(const cxxopts::ParseResult& arguments) {
    const auto command = arguments["command"].as<std::string>(), out = arguments["out"].as<std::string>();
    const auto files = arguments["files"].as<std::vector<std::string>>();
    if (command == "compare" && files.size() == 2)
        return compare(files[0], files[1]);
    if (files.size() != 1 || files[0].empty())
        throw config::ConfigError(command + ": exactly one file is required (compare: two)");
    const experiment::Experiment experiment = experiment::load_experiment(files[0]);
    if (command == "stand-in")
        return experiment::run_fake_upstream_service(experiment);
    if (command == "emulate") {
        write_report(experiment::emulate(experiment), out);
        return 0;
    }
    if (command != "run")
        throw config::ConfigError("unknown command \"" + command +
                                  "\": none of run, emulate, compare, stand-in");
    write_report(run_with_processes(experiment, files[0], arguments), out);
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options = command_line();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        return run_command(arguments);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "cressledge_lab: %s\n", e.what());
        return 2;
    }
}
