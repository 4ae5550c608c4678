/// Reads the section `fleet` of the operator's file: gossip and membership.
#pragma once

#include <optional>

#include "config/yaml_reader.hpp"
#include "gossip/gossip_node.hpp"

namespace cressledge::config {

/// Reads the section. Without it, returns nothing and the process keeps no membership table. Throws ConfigError.
std::optional<gossip::Settings> read_fleet(const YamlReader& reader, const YAML::Node& document);

}  // namespace cressledge::config
