// What calls have shown of the hosts of the inventory.
#pragma once

#include <map>
#include <string>

#include "base/timer_queue.hpp"

namespace cressledge::learned_state {

using base::Duration;
using base::Timestamp;

/// The weight of the latest call in the smoothed figures, once there have been enough calls.
constexpr double upstream_smoothing_gain = 0.05;
/// Counts of observations stop here.
constexpr double max_observations = 1e6;

/// Of one upstream host.
struct UpstreamStats {
    /// Of successful calls; exponentially smoothed.
    double mean_latency_seconds = 0.0;
    /// Failed calls of all calls; exponentially smoothed.
    double failure_ratio = 0.0;
    /// The number of calls behind these figures.
    double call_count = 0.0;
    Timestamp last_call_at{0};

    void record_call(Timestamp now, bool succeeded, double latency_seconds);
};

/// By the host's name in the inventory.
using UpstreamStatsByName = std::map<std::string, UpstreamStats>;

}  // namespace cressledge::learned_state
