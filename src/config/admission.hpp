/// Reads the section `admission` of the operator's file: limits on connections and requests.
#pragma once

#include "config/operator.hpp"
#include "config/yaml_reader.hpp"

namespace cressledge::config {

/// Reads the section, or sets its defaults if it is missing. The maximum number of connections and the longest
/// Retry-After must already be set in `config`. Throws ConfigError.
void read_admission(const YamlReader& reader, const YAML::Node& document, OperatorConfig& config);

}  // namespace cressledge::config
