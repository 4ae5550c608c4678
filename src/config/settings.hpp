/// Maps the settings object of the simulator's `born` message and of the node configuration to the settings of the
/// admission controller. The simulator adapter and the server share this mapping so that both decide alike.
#pragma once

#include <string_view>

#include "config/config_error.hpp"
#include "policy/admission_controller.hpp"

namespace cressledge::config {

/// Parses the settings. Throws ConfigError if `domain.cores`, `domain.memory-kb` or `classes` is missing or of the wrong
/// type. Any other such field keeps its default.
policy::Settings settings_from_json(std::string_view source);

}  // namespace cressledge::config
