// Parses the command line of cressledge and runs the sub-command.
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

/// The parsed command line. Options that were not given are empty.
struct CommandLine {
    std::string command;
    /// The positional arguments after the command.
    std::optional<Arguments> arguments;
    bool prints_json = false;
    bool rolls_back = false;
    std::optional<std::string> state_directory, node_config_path, operator_path;
    std::string report_path;
};

int run_serve(const CommandLine& command_line) {
    if (command_line.operator_path) {
        if (command_line.node_config_path)
            throw config::ConfigError("serve: --config and --operator cannot be used together");
        return command::serve_gateway(*command_line.operator_path);
    }
    const char* environment_path = std::getenv("NODE_CONFIG");
    if (!command_line.node_config_path && environment_path == nullptr)
        throw config::ConfigError(
            "serve: requires --config FILE, --operator FILE or the environment variable NODE_CONFIG");
    return command::serve_node(command_line.node_config_path ? *command_line.node_config_path
                                                             : environment_path);
}

const std::string& single_argument(const CommandLine& command_line, const Arguments& arguments) {
    if (arguments.size() != 1)
        throw config::ConfigError(command_line.command + ": requires exactly one file, " +
                                  std::to_string(arguments.size()) + " given");
    return arguments[0];
}

int run_roll(const CommandLine& command_line, const Arguments& arguments) {
    const std::string& plan_path = single_argument(command_line, arguments);
    if (!command_line.state_directory)
        throw config::ConfigError("roll: requires --state FOLDER");
    return command::roll(plan_path, *command_line.state_directory, command_line.report_path,
                         command_line.rolls_back);
}

cxxopts::Options make_options() {
    cxxopts::Options options("cressledge", "Map server of Sentiers du Sahel Cartographie");
    options.positional_help("[serve|check|inventory|state|supervise|roll|version] [FILE...]");
    auto add = options.add_options();
    add("command",
        "serve: run a server (default); check: validate files; "
        "inventory check|show FILE, diff FILE FILE; "
        "state show|check|export|reset FOLDER: learned state; "
        "supervise FILE: run and restart processes; roll PLAN: roll out a change to a fleet in stages; "
        "version",
        cxxopts::value<std::string>()->default_value("serve"));
    add("files", "arguments of the command, for example the files to check",
        cxxopts::value<Arguments>()->default_value(""));
    add("json", "state, inventory: print JSON");
    add("state", "roll: folder of the rollout's state", cxxopts::value<std::string>());
    add("report", "roll: file for the report", cxxopts::value<std::string>()->default_value(""));
    add("take-back", "roll: roll the change back");
    add("c,config", "serve: file with the node configuration, instead of $NODE_CONFIG",
        cxxopts::value<std::string>());
    add("o,operator", "serve: operator's file, for HTTP and SCGI callers and an inventory",
        cxxopts::value<std::string>());
    add("h,help", "print this help");
    options.parse_positional({"command", "files"});
    return options;
}

std::optional<std::string> text_option(const cxxopts::ParseResult& parsed_options, const char* name) {
    if (parsed_options.count(name) == 0)
        return std::nullopt;
    return parsed_options[name].as<std::string>();
}

CommandLine to_command_line(const cxxopts::ParseResult& parsed_options) {
    CommandLine command_line;
    command_line.command = parsed_options["command"].as<std::string>();
    if (parsed_options.count("files") != 0)
        command_line.arguments = parsed_options["files"].as<Arguments>();
    command_line.prints_json = parsed_options.count("json") != 0;
    command_line.rolls_back = parsed_options.count("take-back") != 0;
    command_line.state_directory = text_option(parsed_options, "state");
    command_line.node_config_path = text_option(parsed_options, "config");
    command_line.operator_path = text_option(parsed_options, "operator");
    command_line.report_path = parsed_options["report"].as<std::string>();
    return command_line;
}

int run(const CommandLine& command_line) {
    const Arguments arguments = command_line.arguments.value_or(Arguments());
    if (command_line.command == "check")
        return command::check(arguments);
    if (command_line.command == "state")
        return command::state(arguments, command_line.prints_json);
    if (command_line.command == "inventory")
        return command::inventory(arguments, command_line.prints_json);
    if (command_line.command == "supervise")
        return command::supervise(single_argument(command_line, arguments));
    if (command_line.command == "roll")
        return run_roll(command_line, arguments);
    if (command_line.arguments)
        throw config::ConfigError(command_line.command + ": takes no files, " +
                                  std::to_string(arguments.size()) + " given");
    if (command_line.command == "version") {
        std::cout << "cressledge " << version << '\n';
        return command::exit_success;
    }
    if (command_line.command != "serve")
        throw config::ConfigError("unknown command: " + command_line.command +
                                  " (must be serve, check, inventory, state, supervise, roll or version)");
    return run_serve(command_line);
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
