// The operator's file, which sets up the second front.
#pragma once

#include <cstdint>
#include <string>

#include "config/fleet.hpp"
#include "config/routing.hpp"
#include "config/settings.hpp"
#include "connection_admission/settings.hpp"

namespace cressledge::config {

struct OperatorConfig {
    std::string path;  // of the file itself
    std::string scgi_address, http_address, admin_address;  // where to listen; empty: not at all
    struct InheritedSockets {  // listening sockets handed down, in place of those addresses; -1: none
        int scgi = -1, http = -1, control = -1;
        bool any() const { return scgi >= 0 || http >= 0 || control >= 0; }
    } inherited_sockets;
    std::string inventory_path, server_group;  // empty group: all servers
    policy::Duration stop_delay{3'000'000}, request_timeout{5'000'000};
    connection_admission::Settings admission;
    std::size_t max_descriptors = 0;  // of the whole process; 0: as many as the system lets it have
    std::size_t max_reported_sources = 10;  // sources in the report
    double request_kb = 24.0;
    struct LearnedStateConfig {
        std::string directory;  // empty: nothing is kept
        std::string node_name;  // this process's name among others of its site
        policy::Duration save_interval{30'000'000}, half_life{std::int64_t{24} * 3'600'000'000},
            max_age{std::int64_t{14} * 24 * 3'600'000'000};
    } learned_state;
    RoutingConfig routing;
    std::string routing_yaml;  // that section as it stands, to tell whether it has changed
    std::optional<gossip::Settings> gossip;
    std::string restart_only_yaml;  // all that changes with a restart only, as text
    policy::Settings policy_settings;
};

// What a supervisor (docs/operators/supervise.md) hands down in CRESSLEDGE_SCGI_FD, _HTTP_FD and _CONTROL_FD. Throws
// std::runtime_error.
OperatorConfig::InheritedSockets inherited_sockets();
OperatorConfig load_operator_config(const std::string& path);  // throws Invalid with file, line and field

}  // namespace cressledge::config
