// What a rejected caller is told of retries. README.md, "Decisions", has the reason for each tuned value.
//
// Invariants: the wait asked for lies within 0 and the greatest that callers heed; a server whose own fault
// is the cause of its rejections discourages no retry, as another may serve.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// The condition of the server from which the advice is computed, read at one moment.
struct RetryReading {
    /// True while the server fails, hangs or drains.
    bool is_unavailable = false;
    /// True while a notable share of its own runs fails.
    bool is_degraded = false;
    /// Cheapest over present prices (ratio, at most 1).
    double relative_speed = 1.0;
    /// How far the unread wait of arrivals lies between its two bounds (0 to 1).
    double intake_overload = 0.0;
    /// Smoothed share of the top band's arrivals that were rejected (0 to 1).
    double top_band_rejected_share = 0.0;
};

/// Advises rejected callers when to retry, and whether to.
class RetryAdvisor {
public:
    /// `max_retry_after` 0: callers do not heed it.
    RetryAdvisor(int replica_count, Duration max_retry_after);

    /// Counts an arrival: whether it retries a rejected one, or will be retried.
    void record_arrival(bool is_retry);
    /// How long a rejected caller should wait.
    Duration retry_after(const RetryReading& reading) const;
    /// Whether a rejected caller should not retry at all.
    bool discourages_retry(const RetryReading& reading) const;

private:
    int replica_count_;
    Duration max_retry_after_;
    double retry_share_ = 0.0;  // of the arrivals, smoothed
};

}  // namespace cressledge::policy::aces
