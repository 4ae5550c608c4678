// Saves the estimates of a controller and restores them after a restart.
//
// Invariants: estimates of classes and bands that are not in the settings are ignored on restore; capacity
// and concurrency limit are restored only if their confidence is positive.
#pragma once

#include "policy/controller_state.hpp"

namespace cressledge::policy::aces {

/// Returns the learned estimates of the controller; all confidences are 0.
Estimates save_estimates(const ControllerState& state);

/// Moves the initial estimates towards the saved ones and reopens the budget. Must be called before the first
/// event.
void restore_estimates(const Estimates& saved, ControllerState& state);

}  // namespace cressledge::policy::aces
