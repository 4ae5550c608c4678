// How many requests may be in flight, a part of what the cores survive. README.md has the reason for the
// margin.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Requests that may be started and not over, `age` after the start of the process. While a cold server warms
/// up, only the share of full speed that it surely has counts.
double max_in_flight(const Settings& settings, Duration age);

}  // namespace cressledge::policy::aces
