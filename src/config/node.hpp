/// What the platform tells one server: NODE_CONFIG, a JSON object.
///
/// Owns the mapping from the object's words to settings of the modules.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "config/file.hpp"
#include "config/settings.hpp"

namespace cressledge::config {

/// What NODE_CONFIG says, with its defaults, and what the process adds to it at its start.
struct NodeConfig {
    std::string name, listen_address, engine_address, directory_address;
    /// Empty: requests call no dependency.
    std::string records_address;
    /// Empty: there is no admin address.
    std::string admin_address;
    std::uint64_t seed = 0;
    /// From the notice of a shutdown to the stop.
    policy::Duration stop_delay{3'000'000};
    std::size_t max_descriptors = 1024;
    /// Descriptors that the process holds at its start.
    std::size_t descriptors_at_start = 0;
    /// The listening socket that the platform hands down. -1: `listen_address` is bound.
    int inherited_listener_fd = -1;
    /// In the order in which the engine reports them.
    std::vector<std::string> gauge_names;
    policy::Settings policy_settings;
    /// The settings as read: a reload makes a new generation where they differ.
    std::string settings_json;
};

/// Throws ConfigError with the line, and without a file.
NodeConfig node_from_json(const std::string& source);
/// Throws ConfigError with file and line.
NodeConfig load_node_config(const std::string& path);

}  // namespace cressledge::config
