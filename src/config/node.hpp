// What the platform tells one server: NODE_CONFIG.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace cressledge::config {

struct NodeConfig {
    std::string name, listen_address, engine_address, directory_address;
    std::string records_address;  // empty: the settings name nothing that is called
    std::string admin_address;  // the control address; empty: none
    std::uint64_t seed = 0;
    policy::Duration stop_delay{3'000'000};  // between the notice to leave and the stop
    std::size_t max_descriptors = 1024;
    std::size_t descriptors_at_start = 0;  // descriptors that the process holds at the start
    int inherited_listener_fd =
        -1;  // the clients' listening socket, handed down by the platform; -1: bind `listen`
    std::vector<std::string> gauge_names;  // in the order in which the engine says them
    policy::Settings policy_settings;
    std::string settings_json;  // of the settings, as read: a retune is due where it differs
};

std::string read_file(const std::string& path);  // throws Invalid
struct ConfigErrorAtLine final : ConfigError {
    ConfigErrorAtLine(std::size_t line_number, const std::string& what)
        : ConfigError(what), line(line_number) {}
    const std::size_t line;  // from 1: where the fault stands; of what is missing, where it would belong
};
NodeConfig node_from_json(const std::string& source);  // throws InvalidAt
NodeConfig load_node_config(const std::string& path);  // throws Invalid with file and line

}  // namespace cressledge::config
