// What is saved of a controller over a restart, and how it comes back.
//
// Invariants: estimates of classes and bands that the settings do not have are left out on return; capacity
// and limit come back only with confidence in them.
#pragma once

#include "policy/controller_state.hpp"

namespace cressledge::policy::aces {

/// What the controller has learned.
Estimates save_estimates(const ControllerState& state);

/// Moves the first guesses towards what was saved, and opens the budget anew. Only before the first event.
void restore_estimates(const Estimates& saved, ControllerState& state);

}  // namespace cressledge::policy::aces
