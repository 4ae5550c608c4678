// The error of the adapter for input that it cannot read.
#pragma once

#include <stdexcept>

namespace cressledge::simulator_adapter {

/// A line that is not a batch of the simulator, or lacks a field that is needed.
struct MalformedBatch : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace cressledge::simulator_adapter
