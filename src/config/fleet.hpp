// The section `fleet` of the operator's file.
#pragma once

#include <optional>

#include "config/reader.hpp"
#include "gossip/gossip_node.hpp"

namespace cressledge::config {

// None: the file has no such section, and the process keeps no view of its fleet. Throws Invalid.
std::optional<gossip::Settings> read_fleet(const YamlReader& reader, const YAML::Node& doc);

}  // namespace cressledge::config
