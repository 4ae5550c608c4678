/// Parses inventories in YAML with groups, hosts and vars, in the form of configuration management tools.
#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <vector>

#include "config/upstream_server.hpp"

namespace cressledge::config {

/// Parses an inventory. `path` names the file in errors. Throws InventoryError for bad hosts, and ConfigError for any
/// other error.
std::vector<Upstream> parse_yaml_inventory(const std::string& path, const YAML::Node& root);

}  // namespace cressledge::config
