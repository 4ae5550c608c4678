// cressledge_lab: experiments on the spread of load, from a YAML file, emulated or with real processes on loopback.
//
//   cressledge_lab run FILE [--program build/cressledge] [--out report.json] [--keep FOLDER]
//   cressledge_lab emulate FILE [--out report.json]
//   cressledge_lab compare REPORT REPORT        the figures of two reports side by side
//   cressledge_lab stand-in FILE                the servers alone; commands on standard input
#include <unistd.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "config/node.hpp"
#include "experiment/servers.hpp"
#include "experiment/trial.hpp"

namespace {

using namespace cressledge;
using nlohmann::ordered_json;

ordered_json read_report(const std::string& path) {
    try {
        return ordered_json::parse(config::read_file(path));
    } catch (const nlohmann::json::exception&) {
        throw config::ConfigError(path + ": not a report");
    }
}

int compare(const std::string& a, const std::string& b) {
    const ordered_json x = read_report(a), y = read_report(b);
    std::printf("%-18s %14s %14s %8s\n", "", x.value("how", "?").c_str(), y.value("how", "?").c_str(),
                "ratio");
    for (const auto& [name, value] : x.at("figures").items()) {
        if (!y.at("figures").contains(name))
            continue;
        const double v = value.get<double>(), w = y["figures"][name].get<double>();
        std::printf("%-18s %14.4f %14.4f %8.3f\n", name.c_str(), v, w, w == 0.0 ? 0.0 : v / w);
    }
    return 0;
}

void write_report(const ordered_json& report, const std::string& out) {
    std::printf("%s\n", ordered_json{{"how", report["how"]}, {"figures", report["figures"]}}.dump(2).c_str());
    if (out.empty())
        return;
    const std::filesystem::path path(out);
    if (path.has_parent_path())
        std::filesystem::create_directories(path.parent_path());
    std::ofstream(out) << report.dump(1) << '\n';
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("cressledge_lab", "experiments on the spread of load");
    options.positional_help("run|emulate|compare|stand-in FILE...");
    options.add_options()("command", "", cxxopts::value<std::string>()->default_value(""))(
        "files", "", cxxopts::value<std::vector<std::string>>()->default_value(""))(
        "program", "run: the program", cxxopts::value<std::string>()->default_value("build/cressledge"))(
        "out", "run, emulate: where the report goes", cxxopts::value<std::string>()->default_value(""))(
        "keep", "run: a folder for the processes' files and logs",
        cxxopts::value<std::string>()->default_value(""))("quiet", "run: no lines of progress")("h,help",
                                                                                                "print this");
    options.parse_positional({"command", "files"});
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        const auto command = given["command"].as<std::string>(), out = given["out"].as<std::string>();
        const auto files = given["files"].as<std::vector<std::string>>();
        if (command == "compare" && files.size() == 2)
            return compare(files[0], files[1]);
        if (files.size() != 1 || files[0].empty())
            throw config::ConfigError(command + ": names no file");
        const experiment::Experiment e = experiment::load_experiment(files[0]);
        if (command == "stand-in")
            return experiment::serve_stand_ins(e);
        if (command == "emulate") {
            write_report(experiment::emulate(e), out);
            return 0;
        }
        if (command != "run")
            throw config::ConfigError("no such command: " + command);
        experiment::Where where;
        where.program = std::filesystem::absolute(given["program"].as<std::string>());
        where.self = std::filesystem::read_symlink("/proc/self/exe");
        where.file = files[0];
        const auto keep = given["keep"].as<std::string>();
        char name[] = "/tmp/cressledge-lab-XXXXXX";
        where.folder = keep.empty() ? std::string(mkdtemp(name)) : keep;
        std::filesystem::create_directories(where.folder);
        if (given.count("quiet") == 0)
            where.progress = [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); };
        const ordered_json report = experiment::trial(e, where);
        if (keep.empty())
            std::filesystem::remove_all(where.folder);
        write_report(report, out);
        return 0;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "cressledge_lab: %s\n", e.what());
        return 2;
    }
}
