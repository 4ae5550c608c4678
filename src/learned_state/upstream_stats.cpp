#include "learned_state/upstream_stats.hpp"

#include <algorithm>

namespace cressledge::learned_state {

void UpstreamStats::record_call(Timestamp now, bool succeeded, double latency_seconds) {
    last_call_at = now;
    call_count = std::min(call_count + 1.0, max_observations);
    const double gain = std::max(upstream_smoothing_gain, 1.0 / call_count);
    failure_ratio += gain * ((succeeded ? 0.0 : 1.0) - failure_ratio);
    if (!succeeded)
        return;
    const bool is_first_success = mean_latency_seconds <= 0.0;
    mean_latency_seconds += (is_first_success ? 1.0 : gain) * (latency_seconds - mean_latency_seconds);
}

}  // namespace cressledge::learned_state
