// Settings of outlier detection, health checks and slow start.
#pragma once

#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::upstream_health {

/// When a host is suspect or ejected, for how long, and how it comes back.
struct HealthSettings {
    /// Consecutive failures after which a host is suspect, and ejected.
    std::uint32_t suspect_after_failures = 2;
    std::uint32_t eject_after_failures = 5;
    /// Smoothed fraction of failed calls above which a host is ejected.
    double max_failure_rate = 0.5;
    /// A host that takes more than so many times the median latency of its peers is ejected.
    double max_latency_ratio = 3.0;
    /// Of the hosts in the inventory at most this fraction is ejected at a time.
    double max_ejected_fraction = 0.3;
    /// Below this fraction of usable hosts all are used (panic mode).
    double panic_threshold = 0.5;
    /// Length of the first ejection, doubled with each consecutive one up to the second figure.
    base::Duration base_ejection_time{5'000'000};
    base::Duration max_ejection_time{60'000'000};
    /// How long a host warms up.
    base::Duration slow_start_time{10'000'000};
    /// Shortest time between two checks of a host; as much again is added at random.
    base::Duration health_check_interval{2'000'000};
    /// Fraction of its regular traffic that a suspect host gets, and that slow start begins with.
    double min_traffic_fraction = 0.05;
};

}  // namespace cressledge::upstream_health
