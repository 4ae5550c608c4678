/// The operator's file, which sets a process up for HTTP and SCGI callers before an inventory of servers
/// (docs/operators/).
///
/// Owns the mapping from the file's words to settings of the modules, and the ranges of every field.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "config/fleet.hpp"
#include "config/routing.hpp"
#include "config/settings.hpp"
#include "connection_admission/settings.hpp"

namespace cressledge::config {

/// The section `learning`: what is saved of the estimates.
struct LearnedStateConfig {
    /// Empty: nothing is saved.
    std::string directory;
    /// This process's name among others of its site.
    std::string node_name;
    policy::Duration save_interval{30'000'000};
    policy::Duration half_life{std::int64_t{24} * 3'600'000'000};
    policy::Duration max_age{std::int64_t{14} * 24 * 3'600'000'000};
};

/// Listening sockets that a supervisor hands down, in place of the addresses of the file. -1: none.
struct InheritedSockets {
    int scgi = -1;
    int http = -1;
    int control = -1;
    /// Whether any socket was handed down.
    bool any() const { return scgi >= 0 || http >= 0 || control >= 0; }
};

/// What one operator's file says, with its defaults.
struct OperatorConfig {
    using InheritedSockets = config::InheritedSockets;
    using LearnedStateConfig = config::LearnedStateConfig;

    /// The file itself.
    std::string path;
    /// Where to listen; empty: not at all.
    std::string scgi_address, http_address, admin_address;
    InheritedSockets inherited_sockets;
    std::string inventory_path;
    /// The group of the inventory that is used. Empty: all servers.
    std::string server_group;
    /// From the notice of a shutdown to the stop.
    policy::Duration stop_delay{3'000'000};
    /// From the first byte of a request to its last.
    policy::Duration request_timeout{5'000'000};
    connection_admission::Settings admission;
    /// Of the whole process. 0: as many as the system lets it have.
    std::size_t max_descriptors = 0;
    /// Sources in the report on connections.
    std::size_t max_reported_sources = 10;
    /// Memory of a request whose caller does not say.
    double request_kb = 24.0;
    LearnedStateConfig learned_state;
    RoutingConfig routing;
    /// The section `routing` as it stands, to tell whether it has changed.
    std::string routing_yaml;
    /// None: the process keeps no membership table.
    std::optional<gossip::Settings> gossip;
    /// Everything that a reload cannot change, as text.
    std::string restart_only_yaml;
    policy::Settings policy_settings;
};

/// The sockets in CRESSLEDGE_SCGI_FD, _HTTP_FD and _CONTROL_FD (docs/operators/supervise.md). Throws std::runtime_error.
InheritedSockets inherited_sockets();

/// Throws ConfigError with file, line and field.
OperatorConfig load_operator_config(const std::string& path);

}  // namespace cressledge::config
