#include "load_balancing/peak_latency.hpp"

#include <algorithm>
#include <cmath>

#include "load_balancing/seconds.hpp"

namespace cressledge::load_balancing {
namespace {

/// Upper bound of the weight that a peak keeps when a lower latency follows it, however soon.
constexpr double max_peak_retention = 0.95;
/// The expected latency of a host is at least this fraction of the typical latency.
constexpr double min_typical_fraction = 0.1;

}  // namespace

void PeakLatency::on_call_started(base::Timestamp now) {
    in_flight_start_sum_s_ += to_seconds(now);
}

void PeakLatency::on_call_ended(base::Timestamp started_at, std::uint32_t calls_in_flight) {
    in_flight_start_sum_s_ -= to_seconds(started_at);
    // Without calls in flight the sum is exactly 0; resetting it keeps rounding errors from accumulating.
    if (calls_in_flight <= 1)
        in_flight_start_sum_s_ = 0.0;
}

void PeakLatency::record(base::Timestamp now, double latency_s, base::Duration decay_time) {
    if (latency_s >= peak_s_ || peak_s_ <= 0.0) {
        peak_s_ = latency_s;
    } else {
        const double retention = std::exp(-to_seconds(now - updated_at_) / to_seconds(decay_time));
        peak_s_ = latency_s + (peak_s_ - latency_s) * std::min(retention, max_peak_retention);
    }
    updated_at_ = now;
}

double PeakLatency::expected_s(base::Timestamp now, double typical_latency_s, std::uint32_t calls_in_flight,
                               base::Duration decay_time) const {
    double latency_s = typical_latency_s;
    if (peak_s_ > 0.0) {
        const double decayed_peak_s =
            peak_s_ * std::exp(-to_seconds(now - updated_at_) / to_seconds(decay_time));
        latency_s = std::max(min_typical_fraction * typical_latency_s, decayed_peak_s);
    }
    if (calls_in_flight > 0)
        latency_s = std::max(latency_s, to_seconds(now) - in_flight_start_sum_s_ / calls_in_flight);
    return latency_s;
}

}  // namespace cressledge::load_balancing
