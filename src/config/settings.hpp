/// The one mapping from the settings object, as the simulator's first message and NODE_CONFIG give it, to the settings of
/// the admission controller. The simulator adapter and the server share it, so that both decide alike.
#pragma once

#include <string_view>

#include "config/config_error.hpp"
#include "policy/admission_controller.hpp"

namespace cressledge::config {

/// Throws ConfigError where the object lacks what is necessary. What else is missing or of another type keeps its default.
policy::Settings settings_from_json(std::string_view source);

}  // namespace cressledge::config
