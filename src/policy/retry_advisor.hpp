// Advises rejected callers on retries. README.md, "Decisions", explains each tuned value.
//
// Invariants: Retry-After lies between 0 and the maximum that callers follow; a server that rejects because
// of its own fault does not discourage retries, as another server may serve them.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// The state of the server, at one point in time, from which the advice is computed.
struct RetryReading {
    /// Whether the server is failing, hung or draining.
    bool is_unavailable = false;
    /// Whether a notable fraction of its runs fails.
    bool is_degraded = false;
    /// Ratio (at most 1) of the cheapest prices to the current ones.
    double relative_speed = 1.0;
    /// Overload of the intake (0 to 1), as `IntakeMonitor` defines it.
    double intake_overload = 0.0;
    /// Smoothed fraction of the arrivals of the top band that were rejected (0 to 1).
    double top_band_rejected_fraction = 0.0;
};

/// Advises rejected callers whether and when to retry.
class RetryAdvisor {
public:
    /// `max_retry_after` is 0 if callers ignore Retry-After.
    RetryAdvisor(int replica_count, Duration max_retry_after);

    /// Records an arrival. `is_retry` is whether it is a retry or, if callers do not mark retries, was
    /// rejected.
    void record_arrival(bool is_retry);
    /// Time that a rejected caller should wait before a retry.
    Duration retry_after(const RetryReading& reading) const;
    /// Whether a rejected caller should not retry at all.
    bool discourages_retry(const RetryReading& reading) const;

private:
    int replica_count_;
    Duration max_retry_after_;
    double retry_fraction_ = 0.0;  // fraction of the arrivals, smoothed
};

}  // namespace cressledge::policy::aces
