// Which share of the runs needs a core. README.md has the reason for each tuned value.
//
// Invariant: the share lies between its lower bound and 1.
#pragma once

namespace cressledge::policy::aces {

/// Share of the runs that needs a core: runs may wait for a disk unannounced.
class CpuShareEstimator {
public:
    /// Takes in one gauge: runnable threads, beside the runs that the controller counts (at least 1).
    void update(double runnable, double running);
    /// Cores that a run needs on average (0 to 1).
    double share() const { return share_; }

private:
    double share_ = 1.0;
    double mean_runnable_ = 1.0;
    double mean_running_ = 1.0;
    double samples_ = 8.0;  // starts as if seen eight times
};

}  // namespace cressledge::policy::aces
