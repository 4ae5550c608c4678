// The section `admission` of the operator's file.
#pragma once

#include "config/operator.hpp"
#include "config/reader.hpp"

namespace cressledge::config {

void read_admission(const YamlReader& reader, const YAML::Node& doc,
                    OperatorConfig& config);  // throws Invalid

}  // namespace cressledge::config
