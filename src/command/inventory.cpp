#include "command/inventory.hpp"

#include <iostream>
#include <nlohmann/json.hpp>

#include "command/exit_status.hpp"
#include "config/inventory.hpp"

namespace cressledge::command {
namespace {

/// Maximum number of added, removed and changed names each that a diff prints.
constexpr std::size_t max_names_in_diff = 1000;

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
    nlohmann::json document = nlohmann::json::array();
    for (const config::Upstream& server : servers)
        document.push_back({{"name", server.name},
                            {"address", server.address},
                            {"protocol", server.protocol},
                            {"group", server.group},
                            {"data_centre", server.data_centre},
                            {"model", server.machine_model},
                            {"weight", server.weight},
                            {"drained", server.is_drained},
                            {"tags", server.tags}});
    std::cout << document.dump(2) << '\n';
}

void print_servers(const std::vector<config::Upstream>& servers) {
    const auto or_dash = [](const std::string& text) { return text.empty() ? "-" : text; };
    for (const config::Upstream& server : servers)
        std::cout << server.name << ' ' << server.address << ' ' << server.protocol << ' ' << server.group
                  << " data centre " << or_dash(server.data_centre) << " model "
                  << or_dash(server.machine_model) << " weight " << server.weight
                  << (server.is_drained ? " drained" : "") << '\n';
}

void run_action(const std::vector<std::string>& arguments, bool prints_json) {
    const std::string& action = arguments[0];
    const std::string& path = arguments[1];
    const auto servers = config::load_inventory(path);
    if (action == "diff")
        print_diff(config::diff_inventories(servers, config::load_inventory(arguments[2])), prints_json);
    else if (action == "check")
        std::cout << path << ": inventory of " << servers.size() << " servers\n";
    else if (prints_json)
        print_servers_json(servers);
    else
        print_servers(servers);
}

}  // namespace

int inventory(const std::vector<std::string>& arguments, bool prints_json) {
    const bool is_diff = !arguments.empty() && arguments[0] == "diff";
    const std::size_t expected_count = is_diff ? 3 : 2;
    if (arguments.size() != expected_count || (!is_diff && arguments[0] != "check" && arguments[0] != "show"))
        throw config::ConfigError("inventory: usage: inventory check|show FILE, or inventory diff FILE FILE");
    try {
        run_action(arguments, prints_json);
        return exit_success;
    } catch (const config::InventoryError& error) {
        for (const std::string& row : error.row_errors)
            std::cerr << "cressledge: " << row << '\n';
        return exit_usage_error;
    }
}

}  // namespace cressledge::command
