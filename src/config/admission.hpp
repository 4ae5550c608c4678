/// The section `admission` of the operator's file: bounds on connections and requests.
#pragma once

#include "config/operator.hpp"
#include "config/yaml_reader.hpp"

namespace cressledge::config {

/// Reads the section, or its defaults. `config` has the number of connections and the longest Retry-After already.
/// Throws ConfigError.
void read_admission(const YamlReader& reader, const YAML::Node& document, OperatorConfig& config);

}  // namespace cressledge::config
