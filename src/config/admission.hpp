// The section `admission` of the operator's file.
#pragma once

#include "config/operator.hpp"
#include "config/reader.hpp"

namespace cressledge::config {

void read_admission(const Reader& r, const YAML::Node& doc, Operator& o);  // throws Invalid

}  // namespace cressledge::config
