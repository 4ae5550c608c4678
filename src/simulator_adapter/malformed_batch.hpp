// The error that the adapter throws for invalid input.
#pragma once

#include <stdexcept>

namespace cressledge::simulator_adapter {

/// A line that is not a batch of the simulator, or a batch without a required field.
struct MalformedBatch : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace cressledge::simulator_adapter
