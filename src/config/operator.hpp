/// Loads the operator's file: the configuration of a gateway that serves HTTP and SCGI callers and calls the servers of an
/// inventory (docs/operators/).
///
/// Maps the fields of the file to settings of the modules and defines the range of every field.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "config/fleet.hpp"
#include "config/routing.hpp"
#include "config/settings.hpp"
#include "connection_admission/settings.hpp"

namespace cressledge::config {

/// The section `learning`: where and how learned state is saved.
struct LearnedStateConfig {
    /// Empty if no learned state is saved.
    std::string directory;
    /// Name of this process, unique at its site.
    std::string node_name;
    policy::Duration save_interval{30'000'000};
    policy::Duration half_life{std::int64_t{24} * 3'600'000'000};
    policy::Duration max_age{std::int64_t{14} * 24 * 3'600'000'000};
};

/// Listening sockets inherited from a supervisor, used instead of binding the addresses in the file. -1: none.
struct InheritedSockets {
    int scgi = -1;
    int http = -1;
    int control = -1;
    /// Returns whether any socket was inherited.
    bool any() const { return scgi >= 0 || http >= 0 || control >= 0; }
};

/// The contents of an operator's file, with defaults.
struct OperatorConfig {
    using InheritedSockets = config::InheritedSockets;
    using LearnedStateConfig = config::LearnedStateConfig;

    /// Path of the file.
    std::string path;
    /// Addresses of the listeners; empty if there is no such listener.
    std::string scgi_address, http_address, admin_address;
    InheritedSockets inherited_sockets;
    std::string inventory_path;
    /// Group of the inventory whose servers are used. Empty: all servers.
    std::string server_group;
    /// Time from the notice of a shutdown to the stop.
    policy::Duration stop_delay{3'000'000};
    /// Time allowed from the first byte of a request to its last.
    policy::Duration request_timeout{5'000'000};
    connection_admission::Settings admission;
    /// File descriptors that the process may use. 0: as many as the system allows.
    std::size_t max_descriptors = 0;
    /// Maximum number of sources in the report on connections.
    std::size_t max_reported_sources = 10;
    /// Memory in kB assumed for a request whose caller does not state it.
    double request_kb = 24.0;
    LearnedStateConfig learned_state;
    RoutingConfig routing;
    /// The section `routing` as text, to detect changes on a reload.
    std::string routing_yaml;
    /// Empty if the process keeps no membership table.
    std::optional<gossip::Settings> gossip;
    /// The fields that only a restart can change, as text.
    std::string restart_only_yaml;
    policy::Settings policy_settings;
};

/// Returns the sockets named by the environment variables CRESSLEDGE_SCGI_FD, CRESSLEDGE_HTTP_FD and CRESSLEDGE_CONTROL_FD
/// (docs/operators/supervise.md). Throws std::runtime_error.
InheritedSockets inherited_sockets();

/// Loads the file. Throws ConfigError with file, line and field.
OperatorConfig load_operator_config(const std::string& path);

}  // namespace cressledge::config
