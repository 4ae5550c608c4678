/// The configuration of one server on the platform: the JSON object in the file that NODE_CONFIG names.
///
/// Maps the fields of the object to settings of the modules.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "config/file.hpp"
#include "config/settings.hpp"

namespace cressledge::config {

/// The contents of the file, with defaults, and values that the process adds when it starts.
struct NodeConfig {
    std::string name, listen_address, engine_address, directory_address;
    /// Empty if requests call no dependency.
    std::string records_address;
    /// Empty if there is no admin listener.
    std::string admin_address;
    std::uint64_t seed = 0;
    /// Time from the notice of a shutdown to the stop.
    policy::Duration stop_delay{3'000'000};
    std::size_t max_descriptors = 1024;
    /// File descriptors that are open when the process starts.
    std::size_t descriptors_at_start = 0;
    /// Listening socket inherited from the platform. -1: the process binds `listen_address` itself.
    int inherited_listener_fd = -1;
    /// Names of the gauges, in the order in which the engine reports them.
    std::vector<std::string> gauge_names;
    policy::Settings policy_settings;
    /// The settings as JSON text. A reload starts a new settings generation only if this differs.
    std::string settings_json;
};

/// Parses a configuration. Throws ConfigError with the line but no file.
NodeConfig node_from_json(const std::string& source);
/// Loads the file. Throws ConfigError with file and line.
NodeConfig load_node_config(const std::string& path);

}  // namespace cressledge::config
