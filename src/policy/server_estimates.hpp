// The learned estimates of this server: prices of the classes, capacity, slowdown and use of the cores.
// README.md explains each tuned value.
//
// Invariants: there is one price per class, in the order of the settings; the means over the classes were
// computed at the last gauges.
#pragma once

#include <vector>

#include "policy/capacity_estimator.hpp"
#include "policy/class_price.hpp"
#include "policy/runnable_fraction_estimator.hpp"
#include "policy/stall_detector.hpp"
#include "policy/tracked_request.hpp"

namespace cressledge::policy::aces {

/// The estimators of one server. The components that handle the events update them.
struct ServerEstimates {
    explicit ServerEstimates(const Settings& settings);

    ClassPrice& price_of(const TrackedRequest& request) { return prices[request.class_index]; }
    const ClassPrice& price_of(const TrackedRequest& request) const { return prices[request.class_index]; }
    /// Updates the CPU utilization, if measured, and the means over the classes.
    void update(const Gauges& gauges);

    std::vector<ClassPrice> prices;  // by class index
    StallDetector stall;
    CapacityEstimator capacity;
    RunnableFractionEstimator runnable_fraction;
    /// Fraction of the cores in use at the last gauge (0 to 1).
    double cpu_utilization = 0.0;
    /// Mean relative speed of the classes (ratio, at most 1).
    double relative_speed = 1.0;
    /// Mean price of the classes (core seconds per run).
    double mean_price_quanta = 0.0;
    /// Longest mean run time of a class (seconds).
    double longest_run_seconds = 0.0;
};

}  // namespace cressledge::policy::aces
