// Limits the number of requests in flight to a fraction of the runs that the cores survive. README.md
// explains the fraction.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Maximum number of requests in flight (started and not finished), `age` after the start of the server. It
/// grows with the speed of a cold server while that warms up.
double max_in_flight(const Settings& settings, bool is_cold_start, Duration age);

}  // namespace cressledge::policy::aces
