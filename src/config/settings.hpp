// The one mapping from the settings object (as the simulator's first message and NODE_CONFIG give it) to the
// decision module's Settings. The adapter and the real server share it, so that both decide alike.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

#include "policy/admission_controller.hpp"

namespace cressledge::config {

struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

policy::Settings settings_from_json(std::string_view json);

}  // namespace cressledge::config
