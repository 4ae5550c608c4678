// Estimates the fraction of runs that need a core. README.md explains each tuned value.
//
// Invariant: the fraction lies between its lower bound and 1.
#pragma once

namespace cressledge::policy::aces {

/// Fraction of running requests that need a core; the others wait for a disk without telling the controller.
class RunnableFractionEstimator {
public:
    /// Adds one sample: the number of runnable threads and the number of runs (at least 1).
    void update(double runnable, double running);
    /// Cores that a run needs on average (0 to 1).
    double fraction() const { return fraction_; }

private:
    double fraction_ = 1.0;
    double mean_runnable_ = 1.0;
    double mean_running_ = 1.0;
    double samples_ = 8.0;  // the initial value weighs as much as eight samples
};

}  // namespace cressledge::policy::aces
