// How long requests wait unread before they reach the controller. README.md has the reason for each value.
//
// Invariant: the overload lies within 0 to 1 and is 0 while the wait is below its lower bound.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Finds an overload of the intake by the smoothed unread wait of arrivals.
class IntakeMonitor {
public:
    /// The wait is measured in parts of the tightest latency objective (seconds).
    explicit IntakeMonitor(double min_objective_seconds) : min_objective_seconds_(min_objective_seconds) {}

    /// Takes in how long a request waited unread, without pauses of the process.
    void record(Duration unread_wait);
    /// Where the wait lies between the bounds from which and at which the intake is overloaded (0 to 1).
    double overload() const;

private:
    double min_objective_seconds_;
    double mean_wait_ = 0.0;  // share of the tightest objective
};

}  // namespace cressledge::policy::aces
