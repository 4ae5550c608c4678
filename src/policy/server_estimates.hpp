// What the controller has learned of this server: prices of the classes, capacity, slowdowns, use of the
// cores. README.md has the reason for each tuned value.
//
// Invariants: there is one price for each class of the settings, in their order; the means over the classes
// are those of the last gauges.
#pragma once

#include <vector>

#include "policy/capacity_estimator.hpp"
#include "policy/class_price.hpp"
#include "policy/cpu_share_estimator.hpp"
#include "policy/stall_detector.hpp"
#include "policy/tracked_request.hpp"

namespace cressledge::policy::aces {

/// The estimators of one server, fed by those who see the events.
struct ServerEstimates {
    explicit ServerEstimates(const Settings& settings);

    ClassPrice& price_of(const TrackedRequest& request) { return prices[request.class_index]; }
    const ClassPrice& price_of(const TrackedRequest& request) const { return prices[request.class_index]; }
    /// Takes in the CPU gauge, if measured, and the means over the classes.
    void update(const Gauges& gauges);

    std::vector<ClassPrice> prices;  // by class
    StallDetector stall;
    CapacityEstimator capacity;
    CpuShareEstimator cpu_share;
    /// Share of the cores in use by the last gauge (0 to 1).
    double cpu_utilization = 0.0;
    /// Mean over the classes (ratio, at most 1).
    double relative_speed = 1.0;
    /// Mean over the classes (core seconds a run).
    double mean_price_quanta = 0.0;
    /// Longest mean run of a class (seconds).
    double longest_run_seconds = 0.0;
};

}  // namespace cressledge::policy::aces
