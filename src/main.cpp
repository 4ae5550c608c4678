// The command line of cressledge: parses it and runs the one sub-command.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "command/check.hpp"
#include "command/exit_status.hpp"
#include "command/inventory.hpp"
#include "command/roll.hpp"
#include "command/serve.hpp"
#include "command/state.hpp"
#include "command/supervise.hpp"
#include "config/config_error.hpp"

namespace {

namespace command = cressledge::command;
namespace config = cressledge::config;

constexpr const char* version = "0.2.0";

using Arguments = std::vector<std::string>;

/// What was asked for. Values that were not given are missing or empty.
struct CommandLine {
    std::string command;
    /// The words behind the command.
    std::optional<Arguments> arguments;
    bool prints_json = false;
    bool rolls_back = false;
    std::optional<std::string> state_directory, node_config_path, operator_path;
    std::string report_path;
};

int run_serve(const CommandLine& line) {
    if (line.operator_path) {
        if (line.node_config_path)
            throw config::ConfigError("serve: --config and --operator exclude each other");
        return command::serve_gateway(*line.operator_path);
    }
    const char* environment = std::getenv("NODE_CONFIG");
    if (!line.node_config_path && environment == nullptr)
        throw config::ConfigError("serve: neither --config nor --operator nor NODE_CONFIG names a file");
    return command::serve_node(line.node_config_path ? *line.node_config_path : environment);
}

const std::string& only_argument(const CommandLine& line, const Arguments& arguments) {
    if (arguments.size() != 1)
        throw config::ConfigError(line.command + ": needs one file");
    return arguments[0];
}

int run_roll(const CommandLine& line, const Arguments& arguments) {
    const std::string& plan_path = only_argument(line, arguments);
    if (!line.state_directory)
        throw config::ConfigError("roll: --state names no folder");
    return command::roll(plan_path, *line.state_directory, line.report_path, line.rolls_back);
}

cxxopts::Options make_options() {
    cxxopts::Options options("cressledge", "Map server of Sentiers du Sahel Cartographie");
    options.positional_help("[serve|check|inventory|state|supervise|roll|version] [FILE...]");
    auto add = options.add_options();
    add("command",
        "serve: the default; check: read files and say what is wrong; "
        "inventory check|show FILE, diff FILE FILE; "
        "state show|check|export|reset FOLDER: what was learned; "
        "supervise FILE: keep processes up; roll PLAN: change a fleet in stages; version",
        cxxopts::value<std::string>()->default_value("serve"));
    add("files", "the files to check", cxxopts::value<Arguments>()->default_value(""));
    add("json", "state, inventory: print JSON");
    add("state", "roll: the folder of its state", cxxopts::value<std::string>());
    add("report", "roll: where its report goes", cxxopts::value<std::string>()->default_value(""));
    add("take-back", "roll: take the change back");
    add("c,config", "serve: the node's configuration instead of $NODE_CONFIG", cxxopts::value<std::string>());
    add("o,operator", "serve: an operator's file, for SCGI and an inventory", cxxopts::value<std::string>());
    add("h,help", "print this");
    options.parse_positional({"command", "files"});
    return options;
}

std::optional<std::string> text_option(const cxxopts::ParseResult& parsed_options, const char* name) {
    if (parsed_options.count(name) == 0)
        return std::nullopt;
    return parsed_options[name].as<std::string>();
}

CommandLine to_command_line(const cxxopts::ParseResult& parsed_options) {
    CommandLine line;
    line.command = parsed_options["command"].as<std::string>();
    if (parsed_options.count("files") != 0)
        line.arguments = parsed_options["files"].as<Arguments>();
    line.prints_json = parsed_options.count("json") != 0;
    line.rolls_back = parsed_options.count("take-back") != 0;
    line.state_directory = text_option(parsed_options, "state");
    line.node_config_path = text_option(parsed_options, "config");
    line.operator_path = text_option(parsed_options, "operator");
    line.report_path = parsed_options["report"].as<std::string>();
    return line;
}

int run(const CommandLine& line) {
    const Arguments arguments = line.arguments.value_or(Arguments());
    if (line.command == "check")
        return command::check(arguments);
    if (line.command == "state")
        return command::state(arguments, line.prints_json);
    if (line.command == "inventory")
        return command::inventory(arguments, line.prints_json);
    if (line.command == "supervise")
        return command::supervise(only_argument(line, arguments));
    if (line.command == "roll")
        return run_roll(line, arguments);
    if (line.arguments)
        throw config::ConfigError(line.command + ": takes no files");
    if (line.command == "version") {
        std::cout << "cressledge " << version << '\n';
        return command::exit_success;
    }
    if (line.command != "serve")
        throw config::ConfigError("no such command: " + line.command);
    return run_serve(line);
}

}  // namespace

int main(int argc, char** argv) {
    spdlog::set_default_logger(spdlog::stderr_logger_st("cressledge"));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    try {
        cxxopts::Options options = make_options();
        const auto parsed_options = options.parse(argc, argv);
        if (parsed_options.count("help") != 0) {
            std::cout << options.help();
            return command::exit_success;
        }
        return run(to_command_line(parsed_options));
    } catch (const std::exception& error) {
        std::cerr << "cressledge: " << error.what() << '\n';
        return command::exit_usage_error;
    }
}
