/// Inventories as YAML with groups, hosts and vars, in the form that configuration management tools keep.
#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <vector>

#include "config/upstream_server.hpp"

namespace cressledge::config {

/// `path` names the file in errors. Throws ConfigError, and InventoryError for bad hosts.
std::vector<Upstream> parse_yaml_inventory(const std::string& path, const YAML::Node& root);

}  // namespace cressledge::config
