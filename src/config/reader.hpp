/// The reader of YAML files under the path by which other modules include it, with what they use beside it.
#pragma once

#include <cmath>

#include "config/node.hpp"
#include "config/yaml_reader.hpp"
#include "net/stream.hpp"
