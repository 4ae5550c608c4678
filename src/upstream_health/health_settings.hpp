// Settings of outlier detection, health checks and slow start.
#pragma once

#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::upstream_health {

/// Thresholds and durations of host health states.
struct HealthSettings {
    /// Numbers of consecutive failures after which a host becomes suspect and is ejected.
    std::uint32_t suspect_after_failures = 2;
    std::uint32_t eject_after_failures = 5;
    /// Smoothed failure rate above which a host is ejected.
    double max_failure_rate = 0.5;
    /// A host is ejected if its mean latency is above this multiple of the median over the ready hosts.
    double max_latency_ratio = 3.0;
    /// Maximum fraction of the hosts in the inventory that are ejected at a time.
    double max_ejected_fraction = 0.3;
    /// Panic mode uses ejected hosts too while the fraction of ready and warming-up hosts is below this threshold.
    double panic_threshold = 0.5;
    /// Duration of the first ejection; it doubles with each consecutive ejection up to `max_ejection_time`.
    base::Duration base_ejection_time{5'000'000};
    base::Duration max_ejection_time{60'000'000};
    /// Duration of slow start.
    base::Duration slow_start_time{10'000'000};
    /// Minimum time between two health checks of a host; a random time of up to the same length is added.
    base::Duration health_check_interval{2'000'000};
    /// Fraction of its regular traffic that a suspect host gets, and with which slow start begins.
    double min_traffic_fraction = 0.05;
};

}  // namespace cressledge::upstream_health
