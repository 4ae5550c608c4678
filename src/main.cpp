// The command line of cressledge.
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

#include "command/roll.hpp"
#include "command/supervise.hpp"
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

constexpr const char* version = "0.2.0";

namespace config = cressledge::config;

int serve(const std::string& path) {
    cressledge::base::TimerQueue timers;
    cressledge::net::Loop loop(timers);
    std::optional<cressledge::platform::PlatformNode> node;
    // Taken before the file is read: a signal that comes meanwhile has it read once more, and ends nothing.
    loop.on_signal(SIGHUP, [&] { node->reload(path); });
    config::NodeConfig settings = config::load_node_config(path);
    settings.descriptors_at_start = cressledge::net::count_open_descriptors();
    settings.inherited_listener_fd = cressledge::net::inherited_listening_socket("NODE_ACCEPT_FD");
    if (const char* control = std::getenv("NODE_CONTROL"); control != nullptr && *control != '\0')
        settings.admin_address = control;
    node.emplace(loop, timers, settings);
    node->start();
    loop.run();
    return 0;
}

int serve_operator(const std::string& path) {
    config::OperatorConfig settings = config::load_operator_config(path);
    settings.inherited_sockets = config::inherited_sockets();
    cressledge::base::TimerQueue timers;
    cressledge::net::Loop loop(timers);
    cressledge::upstream::UpstreamGateway gateway(loop, timers, loop, settings, std::random_device()());
    gateway.start();
    loop.run();
    gateway.save_learned_state();
    return 0;
}

// Says what each file is and what is in force with it; the first bad one ends it.
int check(const std::vector<std::string>& files) {
    if (files.empty())
        throw config::ConfigError("check: no file named");
    for (const std::string& path : files) {
        const std::string ending = path.substr(std::min(path.rfind('.'), path.size()));
        if (ending == ".json") {
            const config::NodeConfig n = config::load_node_config(path);
            std::cout << path << ": configuration of node " << n.name << ", "
                      << n.policy_settings.classes.size() << " classes\n";
        } else if (ending == ".csv" || config::is_inventory_file(path)) {
            const std::size_t servers = config::load_inventory(path).size();
            std::cout << path << ": inventory of " << servers << " servers\n";
        } else {
            const std::size_t servers =
                cressledge::upstream::load_servers(config::load_operator_config(path)).size();
            std::cout << path << ": operator's file, " << servers << " servers in force\n";
        }
    }
    return 0;
}

// What is kept in a folder of the operator's file's section `learning`.
int state(const std::vector<std::string>& words, bool as_json) {
    static const std::vector<std::string> verbs = {"show", "check", "export", "reset"};
    if (words.size() != 2 || std::find(verbs.begin(), verbs.end(), words[0]) == verbs.end())
        throw config::ConfigError("state: show, check, export or reset, and a folder");
    const std::string& verb = words[0];
    namespace store = cressledge::store;
    store::PosixFileSystem files(words[1]);
    store::Store kept(files);
    const auto must = [&](int bad) {
        if (bad != 0)
            throw config::ConfigError(words[1] + ": " +
                                      (bad == EWOULDBLOCK ? "in use by a process" : std::strerror(bad)));
    };
    must(kept.open_read_only());
    const auto& entries = kept.entries();
    if (verb == "reset") {
        store::Store own(files);
        must(own.open());
        must(own.reset());
        std::cout << words[1] << ": nothing is kept now\n";
    } else if (verb == "export") {
        std::cout << cressledge::learned_state::to_json(entries) << '\n';
    } else if (as_json) {
        nlohmann::json j = {{"generation", kept.generation()},
                            {"log_records", kept.replayed_records()},
                            {"entries", entries.size()},
                            {"refused", kept.skipped_files()}};
        if (verb == "show")
            j["state"] = nlohmann::json::parse(cressledge::learned_state::to_json(entries));
        std::cout << j.dump(2) << '\n';
    } else {
        std::cout << words[1] << ": generation " << kept.generation() << ", " << kept.replayed_records()
                  << " records of its log, " << entries.size() << " entries\n";
        for (const std::string& why : kept.skipped_files())
            std::cout << "refused: " << why << '\n';
        if (verb == "show")
            std::cout << cressledge::learned_state::to_json(entries) << '\n';
    }
    return verb == "check" && !kept.skipped_files().empty() ? 1 : 0;
}

// Inventories: what is wrong with one, what is in one, what differs between two.
int inventory(const std::vector<std::string>& words, bool as_json) {
    const bool two = !words.empty() && words[0] == "diff";
    if (words.size() != (two ? 3U : 2U) || (!two && words[0] != "check" && words[0] != "show"))
        throw config::ConfigError("inventory: check or show and a file, or diff and two");
    try {
        const auto first = config::load_inventory(words[1]);
        if (two) {
            const auto d = config::diff_inventories(first, config::load_inventory(words[2]));
            if (as_json)
                std::cout << nlohmann::json{
                    {"added", d.added},
                    {"removed", d.removed},
                    {"changed",
                     d.changed}}.dump(2);
            else
                std::cout << d.summary(1'000);
            std::cout << '\n';
            return 0;
        }
        if (words[0] == "check") {
            std::cout << words[1] << ": inventory of " << first.size() << " servers\n";
            return 0;
        }
        nlohmann::json all = nlohmann::json::array();
        for (const auto& u : first) {
            if (!as_json)
                std::cout << u.name << ' ' << u.address << ' ' << u.protocol << ' ' << u.group
                          << " data centre " << (u.data_centre.empty() ? "-" : u.data_centre) << " model "
                          << (u.machine_model.empty() ? "-" : u.machine_model) << " weight " << u.weight
                          << (u.is_drained ? " drained" : "") << '\n';
            all.push_back({{"name", u.name},
                           {"address", u.address},
                           {"protocol", u.protocol},
                           {"group", u.group},
                           {"data_centre", u.data_centre},
                           {"model", u.machine_model},
                           {"weight", u.weight},
                           {"drained", u.is_drained},
                           {"tags", u.tags}});
        }
        if (as_json)
            std::cout << all.dump(2) << '\n';
        return 0;
    } catch (const config::InventoryError& e) {
        for (const std::string& row : e.row_errors)
            std::cerr << "cressledge: " << row << '\n';
        return 2;
    }
}

}  // namespace

int main(int argc, char** argv) {
    spdlog::set_default_logger(spdlog::stderr_logger_st("cressledge"));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    try {
        cxxopts::Options options("cressledge", "Map server of Sentiers du Sahel Cartographie");
        options.positional_help("[serve|check|inventory|state|supervise|roll|version] [FILE...]");
        options.add_options()(
            "command",
            "serve: the default; check: read files and say what is wrong; "
            "inventory check|show FILE, diff FILE FILE; "
            "state show|check|export|reset FOLDER: what was learned; "
            "supervise FILE: keep processes up; roll PLAN: change a fleet in stages; version",
            cxxopts::value<std::string>()->default_value("serve"))(
            "files", "the files to check", cxxopts::value<std::vector<std::string>>()->default_value(""))(
            "json", "state, inventory: print JSON")("state", "roll: the folder of its state",
                                                    cxxopts::value<std::string>())(
            "report", "roll: where its report goes", cxxopts::value<std::string>()->default_value(""))(
            "take-back", "roll: take the change back")(
            "c,config", "serve: the node's configuration instead of $NODE_CONFIG",
            cxxopts::value<std::string>())("o,operator",
                                           "serve: an operator's file, for SCGI and an inventory",
                                           cxxopts::value<std::string>())("h,help", "print this");
        options.parse_positional({"command", "files"});
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        const auto command = given["command"].as<std::string>();
        if (command == "check")
            return check(given.count("files") != 0 ? given["files"].as<std::vector<std::string>>()
                                                   : std::vector<std::string>());
        if (command == "state")
            return state(given.count("files") != 0 ? given["files"].as<std::vector<std::string>>()
                                                   : std::vector<std::string>(),
                         given.count("json") != 0);
        if (command == "inventory")
            return inventory(given.count("files") != 0 ? given["files"].as<std::vector<std::string>>()
                                                       : std::vector<std::string>(),
                             given.count("json") != 0);
        if (command == "supervise" || command == "roll") {
            const auto files = given.count("files") != 0 ? given["files"].as<std::vector<std::string>>()
                                                         : std::vector<std::string>();
            if (files.size() != 1)
                throw config::ConfigError(command + ": needs one file");
            if (command == "supervise")
                return cressledge::command::supervise(files[0]);
            if (given.count("state") == 0)
                throw config::ConfigError("roll: --state names no folder");
            return cressledge::command::roll(files[0], given["state"].as<std::string>(),
                                             given["report"].as<std::string>(),
                                             given.count("take-back") != 0);
        }
        if (given.count("files") != 0)
            throw config::ConfigError(command + ": takes no files");
        if (command == "version") {
            std::cout << "cressledge " << version << '\n';
            return 0;
        }
        if (command != "serve")
            throw config::ConfigError("no such command: " + command);
        if (given.count("operator") != 0) {
            if (given.count("config") != 0)
                throw config::ConfigError("serve: --config and --operator exclude each other");
            return serve_operator(given["operator"].as<std::string>());
        }
        const char* env = std::getenv("NODE_CONFIG");
        if (given.count("config") == 0 && env == nullptr)
            throw config::ConfigError("serve: neither --config nor --operator nor NODE_CONFIG names a file");
        return serve(given.count("config") != 0 ? given["config"].as<std::string>() : env);
    } catch (const std::exception& e) {
        std::cerr << "cressledge: " << e.what() << '\n';
        return 2;
    }
}
