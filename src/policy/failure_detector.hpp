// Whether the server's own runs fail or hang. README.md has the reason for each tuned value.
//
// Invariants: the failure share lies within 0 to 1; once failing, the server stays so until the share is
// below that of a degraded one; any progress ends a hang.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Finds that own runs fail, or that nothing moves though work is on the cores.
class FailureDetector {
public:
    /// Takes in the outcome of a run of this server's own.
    void record_run(bool failed);
    /// A run started, moved on or ended.
    void record_progress(Timestamp now);
    /// Looks for a hang: `running` requests are on the cores, the longest mean run takes `run_seconds`.
    void update(Timestamp now, double running, double run_seconds);

    bool degraded() const;
    bool failing() const { return failing_; }
    bool hung() const { return hung_; }
    /// Fails or hangs: health checks should say so.
    bool unhealthy() const { return failing_ || hung_; }
    /// Smoothed share of own runs that failed (0 to 1).
    double failure_share() const { return failure_share_; }

private:
    double failure_share_ = 0.0;
    bool failing_ = false;
    bool hung_ = false;
    Timestamp last_progress_{0};
};

}  // namespace cressledge::policy::aces
