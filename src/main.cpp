// The command line of cressledge.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "config/node.hpp"
#include "net/loop.hpp"
#include "platform/node.hpp"

namespace {

constexpr const char* version = "0.2.0";

int serve(const std::string& path) {
    cressledge::config::Node config;
    try {
        config = cressledge::config::node_from_json(cressledge::config::read_file(path));
    } catch (const cressledge::config::Invalid& e) {
        throw cressledge::config::Invalid(path + ": " + e.what());
    }
    cressledge::core::Deadlines deadlines;
    cressledge::net::Loop loop(deadlines);
    cressledge::platform::Node node(loop, deadlines, config);
    node.start();
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    spdlog::set_default_logger(spdlog::stderr_logger_st("cressledge"));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    try {
        cxxopts::Options options("cressledge", "Map server of Sentiers du Sahel Cartographie");
        options.positional_help("serve|version");
        options.add_options()("command", "what to do", cxxopts::value<std::string>()->default_value("serve"))(
            "config", "the node's configuration; default: $NODE_CONFIG", cxxopts::value<std::string>())(
            "h,help", "print this");
        options.parse_positional({"command"});
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        const auto command = given["command"].as<std::string>();
        if (command == "version") {
            std::cout << "cressledge " << version << '\n';
            return 0;
        }
        if (command != "serve") throw cressledge::config::Invalid("no such command: " + command);
        const char* env = std::getenv("NODE_CONFIG");
        if (given.count("config") == 0 && env == nullptr)
            throw cressledge::config::Invalid("serve: neither --config nor NODE_CONFIG names a file");
        return serve(given.count("config") != 0 ? given["config"].as<std::string>() : env);
    } catch (const std::exception& e) {
        std::cerr << "cressledge: " << e.what() << '\n';
        return 2;
    }
}
