// Measures how long requests wait unread before they reach the controller. README.md explains each tuned
// value.
//
// Invariant: the overload lies in 0 to 1 and is 0 while the wait is below its lower bound.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Detects an overload of the intake from the smoothed unread wait of arrivals.
class IntakeMonitor {
public:
    /// `min_objective_seconds` is the tightest latency objective; the wait is measured relative to it.
    explicit IntakeMonitor(double min_objective_seconds) : min_objective_seconds_(min_objective_seconds) {}

    /// Records how long a request waited unread, without pauses of the process.
    void record(Duration unread_wait);
    /// Overload of the intake: 0 up to the lower bound of the wait, rising to 1 at its upper bound.
    double overload() const;

private:
    double min_objective_seconds_;
    double mean_wait_ = 0.0;  // as a fraction of the tightest objective
};

}  // namespace cressledge::policy::aces
