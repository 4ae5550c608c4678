// The command line of cressledge: parses it and runs the one sub-command. Exit status 2 stands for bad use.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "command/roll.hpp"
#include "command/supervise.hpp"
#include "config/file.hpp"
#include "config/inventory.hpp"
#include "config/node.hpp"
#include "config/operator.hpp"
#include "learned_state/learned_state.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"
#include "platform/platform_node.hpp"
#include "store/posix_file_system.hpp"
#include "store/store.hpp"
#include "upstream/gateway.hpp"

namespace {

namespace base = cressledge::base;
namespace command = cressledge::command;
namespace config = cressledge::config;
namespace learned_state = cressledge::learned_state;
namespace net = cressledge::net;
namespace platform = cressledge::platform;
namespace store = cressledge::store;
namespace upstream = cressledge::upstream;

constexpr const char* version = "0.2.0";
constexpr int exit_success = 0;
constexpr int exit_check_failed = 1;
constexpr int exit_bad_use = 2;
/// Names of each kind in the text of an inventory's diff.
constexpr std::size_t max_names_in_diff = 1000;

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

// ---- serve ----

int serve_node(const std::string& path) {
    base::TimerQueue timers;
    net::Loop loop(timers);
    std::optional<platform::PlatformNode> node;
    // Handled before the file is read: a signal that comes meanwhile has it read once more, and ends nothing.
    loop.on_signal(SIGHUP, [&] { node->reload(path); });
    config::NodeConfig settings = config::load_node_config(path);
    settings.descriptors_at_start = net::count_open_descriptors();
    settings.inherited_listener_fd = net::inherited_listening_socket("NODE_ACCEPT_FD");
    if (const char* address = std::getenv("NODE_CONTROL"); address != nullptr && *address != '\0')
        settings.admin_address = address;
    node.emplace(loop, timers, settings);
    node->start();
    loop.run();
    return exit_success;
}

int serve_gateway(const std::string& path) {
    config::OperatorConfig settings = config::load_operator_config(path);
    settings.inherited_sockets = config::inherited_sockets();
    base::TimerQueue timers;
    net::Loop loop(timers);
    upstream::UpstreamGateway gateway(loop, timers, loop, settings, std::random_device()());
    gateway.start();
    loop.run();
    gateway.save_learned_state();
    return exit_success;
}

int run_serve(const CommandLine& line) {
    if (line.operator_path) {
        if (line.node_config_path)
            throw config::ConfigError("serve: --config and --operator exclude each other");
        return serve_gateway(*line.operator_path);
    }
    const char* environment = std::getenv("NODE_CONFIG");
    if (!line.node_config_path && environment == nullptr)
        throw config::ConfigError("serve: neither --config nor --operator nor NODE_CONFIG names a file");
    return serve_node(line.node_config_path ? *line.node_config_path : environment);
}

// ---- check ----

std::string describe_file(const std::string& path) {
    const std::string extension = config::file_extension(path);
    if (extension == ".json") {
        const config::NodeConfig node = config::load_node_config(path);
        return "configuration of node " + node.name + ", " +
               std::to_string(node.policy_settings.classes.size()) + " classes";
    }
    if (extension == ".csv" || config::is_inventory_file(path))
        return "inventory of " + std::to_string(config::load_inventory(path).size()) + " servers";
    const std::size_t servers = upstream::load_servers(config::load_operator_config(path)).size();
    return "operator's file, " + std::to_string(servers) + " servers in force";
}

// Says what each file is and what is in force with it. The first bad one ends it.
int run_check(const Arguments& paths) {
    if (paths.empty())
        throw config::ConfigError("check: no file named");
    for (const std::string& path : paths) {
        const std::string description = describe_file(path);
        std::cout << path << ": " << description << '\n';
    }
    return exit_success;
}

// ---- state ----

void throw_if_failed(const std::string& directory, int error) {
    if (error == 0)
        return;
    const char* reason = error == EWOULDBLOCK ? "in use by a process" : std::strerror(error);
    throw config::ConfigError({directory, 0, {}}, reason);
}

void reset_state(store::PosixFileSystem& files, const std::string& directory) {
    store::Store state(files);
    throw_if_failed(directory, state.open());
    throw_if_failed(directory, state.reset());
    std::cout << directory << ": nothing is kept now\n";
}

void print_state_json(const store::Store& state, bool with_entries) {
    nlohmann::json document = {{"generation", state.generation()},
                               {"log_records", state.replayed_records()},
                               {"entries", state.entries().size()},
                               {"refused", state.skipped_files()}};
    if (with_entries)
        document["state"] = nlohmann::json::parse(learned_state::to_json(state.entries()));
    std::cout << document.dump(2) << '\n';
}

void print_state(const store::Store& state, const std::string& directory, bool with_entries) {
    std::cout << directory << ": generation " << state.generation() << ", " << state.replayed_records()
              << " records of its log, " << state.entries().size() << " entries\n";
    for (const std::string& reason : state.skipped_files())
        std::cout << "refused: " << reason << '\n';
    if (with_entries)
        std::cout << learned_state::to_json(state.entries()) << '\n';
}

// What is saved in the folder of the operator's file's section `learning`.
int run_state(const Arguments& arguments, bool prints_json) {
    static const std::vector<std::string> verbs = {"show", "check", "export", "reset"};
    if (arguments.size() != 2 || std::find(verbs.begin(), verbs.end(), arguments[0]) == verbs.end())
        throw config::ConfigError("state: show, check, export or reset, and a folder");
    const std::string& verb = arguments[0];
    const std::string& directory = arguments[1];
    store::PosixFileSystem files(directory);
    store::Store state(files);
    throw_if_failed(directory, state.open_read_only());
    if (verb == "reset")
        reset_state(files, directory);
    else if (verb == "export")
        std::cout << learned_state::to_json(state.entries()) << '\n';
    else if (prints_json)
        print_state_json(state, verb == "show");
    else
        print_state(state, directory, verb == "show");
    return verb == "check" && !state.skipped_files().empty() ? exit_check_failed : exit_success;
}

// ---- inventory ----

void print_diff(const config::InventoryDiff& difference, bool prints_json) {
    if (prints_json) {
        const nlohmann::json document = {
            {"added", difference.added}, {"removed", difference.removed}, {"changed", difference.changed}};
        std::cout << document.dump(2) << '\n';
        return;
    }
    std::cout << difference.summary(max_names_in_diff) << '\n';
}

void print_servers_json(const std::vector<config::Upstream>& servers) {
    nlohmann::json all = nlohmann::json::array();
    for (const config::Upstream& server : servers)
        all.push_back({{"name", server.name},
                       {"address", server.address},
                       {"protocol", server.protocol},
                       {"group", server.group},
                       {"data_centre", server.data_centre},
                       {"model", server.machine_model},
                       {"weight", server.weight},
                       {"drained", server.is_drained},
                       {"tags", server.tags}});
    std::cout << all.dump(2) << '\n';
}

void print_servers(const std::vector<config::Upstream>& servers) {
    const auto or_dash = [](const std::string& text) { return text.empty() ? "-" : text; };
    for (const config::Upstream& server : servers)
        std::cout << server.name << ' ' << server.address << ' ' << server.protocol << ' ' << server.group
                  << " data centre " << or_dash(server.data_centre) << " model "
                  << or_dash(server.machine_model) << " weight " << server.weight
                  << (server.is_drained ? " drained" : "") << '\n';
}

void run_inventory_verb(const Arguments& arguments, bool prints_json) {
    const std::string& verb = arguments[0];
    const std::string& path = arguments[1];
    const auto servers = config::load_inventory(path);
    if (verb == "diff")
        print_diff(config::diff_inventories(servers, config::load_inventory(arguments[2])), prints_json);
    else if (verb == "check")
        std::cout << path << ": inventory of " << servers.size() << " servers\n";
    else if (prints_json)
        print_servers_json(servers);
    else
        print_servers(servers);
}

// What is wrong with an inventory, what is in one, what differs between two.
int run_inventory(const Arguments& arguments, bool prints_json) {
    const bool is_diff = !arguments.empty() && arguments[0] == "diff";
    const std::size_t expected = is_diff ? 3 : 2;
    if (arguments.size() != expected || (!is_diff && arguments[0] != "check" && arguments[0] != "show"))
        throw config::ConfigError("inventory: check or show and a file, or diff and two");
    try {
        run_inventory_verb(arguments, prints_json);
        return exit_success;
    } catch (const config::InventoryError& error) {
        for (const std::string& row : error.row_errors)
            std::cerr << "cressledge: " << row << '\n';
        return exit_bad_use;
    }
}

// ---- supervise and roll ----

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

// ---- the command line ----

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

std::optional<std::string> text_option(const cxxopts::ParseResult& given, const char* name) {
    if (given.count(name) == 0)
        return std::nullopt;
    return given[name].as<std::string>();
}

CommandLine to_command_line(const cxxopts::ParseResult& given) {
    CommandLine line;
    line.command = given["command"].as<std::string>();
    if (given.count("files") != 0)
        line.arguments = given["files"].as<Arguments>();
    line.prints_json = given.count("json") != 0;
    line.rolls_back = given.count("take-back") != 0;
    line.state_directory = text_option(given, "state");
    line.node_config_path = text_option(given, "config");
    line.operator_path = text_option(given, "operator");
    line.report_path = given["report"].as<std::string>();
    return line;
}

int run(const CommandLine& line) {
    const Arguments arguments = line.arguments.value_or(Arguments());
    if (line.command == "check")
        return run_check(arguments);
    if (line.command == "state")
        return run_state(arguments, line.prints_json);
    if (line.command == "inventory")
        return run_inventory(arguments, line.prints_json);
    if (line.command == "supervise")
        return command::supervise(only_argument(line, arguments));
    if (line.command == "roll")
        return run_roll(line, arguments);
    if (line.arguments)
        throw config::ConfigError(line.command + ": takes no files");
    if (line.command == "version") {
        std::cout << "cressledge " << version << '\n';
        return exit_success;
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
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help();
            return exit_success;
        }
        return run(to_command_line(given));
    } catch (const std::exception& error) {
        std::cerr << "cressledge: " << error.what() << '\n';
        return exit_bad_use;
    }
}
