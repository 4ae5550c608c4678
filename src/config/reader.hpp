/// Includes YamlReader and the headers that modules reading their own YAML files need with it.
#pragma once

#include <cmath>

#include "config/node.hpp"
#include "config/yaml_reader.hpp"
#include "net/stream.hpp"
