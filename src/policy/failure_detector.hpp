// Detects failing and hanging runs of this server. README.md explains each tuned value.
//
// Invariants: the failure fraction lies in 0 to 1; a failing server stays failing until the fraction falls
// below the threshold for a degraded one; any progress ends a hang.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Detects that the runs of this server fail, or that none makes progress although some are running.
class FailureDetector {
public:
    /// Records the outcome of a run, without failures of its dependency.
    void record_run(bool failed);
    /// Records that a run started, progressed or ended.
    void record_progress(Timestamp now);
    /// Checks for a hang, given the number of `running` requests and the longest mean run time in
    /// `run_seconds`.
    void update(Timestamp now, double running, double run_seconds);

    /// Whether a notable fraction of the runs fails.
    bool degraded() const;
    bool failing() const { return failing_; }
    bool hung() const { return hung_; }
    /// Whether the server is failing or hung, so that health checks should fail.
    bool unhealthy() const { return failing_ || hung_; }
    /// Smoothed fraction of runs that failed (0 to 1).
    double failure_fraction() const { return failure_fraction_; }

private:
    double failure_fraction_ = 0.0;
    bool failing_ = false;
    bool hung_ = false;
    Timestamp last_progress_{0};
};

}  // namespace cressledge::policy::aces
