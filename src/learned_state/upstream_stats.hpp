// Statistics of the calls to each upstream host.
#pragma once

#include <map>
#include <string>

#include "base/timer_queue.hpp"

namespace cressledge::learned_state {

using base::Duration;
using base::Timestamp;

/// The weight of the latest call in the exponentially smoothed statistics after the first 20 calls; before, it is
/// 1 / call count.
constexpr double upstream_smoothing_gain = 0.05;
/// The cap on stored counts of observations.
constexpr double max_observations = 1e6;

/// The statistics of one upstream host.
struct UpstreamStats {
    /// The mean latency of successful calls; exponentially smoothed.
    double mean_latency_seconds = 0.0;
    /// The fraction of calls that failed; exponentially smoothed.
    double failure_ratio = 0.0;
    /// The number of calls behind these statistics, at most max_observations.
    double call_count = 0.0;
    Timestamp last_call_at{0};

    /// Updates the statistics with a finished call. The latency is only used if the call succeeded.
    void record_call(Timestamp now, bool succeeded, double latency_seconds);
};

/// Statistics by the host's name in the inventory.
using UpstreamStatsByName = std::map<std::string, UpstreamStats>;

}  // namespace cressledge::learned_state
