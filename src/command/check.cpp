#include "command/check.hpp"

#include <iostream>

#include "command/exit_status.hpp"
#include "config/file.hpp"
#include "config/inventory.hpp"
#include "config/node.hpp"
#include "config/operator.hpp"
#include "upstream/gateway.hpp"

namespace cressledge::command {
namespace {

std::string describe_file(const std::string& path) {
    const std::string extension = config::file_extension(path);
    if (extension == ".json") {
        const config::NodeConfig node = config::load_node_config(path);
        return "configuration of node " + node.name + ", " +
               std::to_string(node.policy_settings.classes.size()) + " request classes";
    }
    if (extension == ".csv" || config::is_inventory_file(path))
        return "inventory of " + std::to_string(config::load_inventory(path).size()) + " servers";
    const std::size_t servers = upstream::load_servers(config::load_operator_config(path)).size();
    return "operator's file, " + std::to_string(servers) + " servers selected";
}

}  // namespace

int check(const std::vector<std::string>& paths) {
    if (paths.empty())
        throw config::ConfigError("check: requires at least one file");
    for (const std::string& path : paths) {
        const std::string description = describe_file(path);
        std::cout << path << ": " << description << '\n';
    }
    return exit_success;
}

}  // namespace cressledge::command
