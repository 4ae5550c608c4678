#include "upstream_health/outlier_detector.hpp"

#include <algorithm>

namespace cressledge::upstream_health {
namespace {

/// Minimum weight of the newest call in the averages of a host.
constexpr double min_smoothing_factor = 0.1;
/// Weight of the newest median in the typical latency.
constexpr double median_smoothing_factor = 0.2;
/// Upper bound of the call count, which affects only the weights of the first calls.
constexpr double max_sample_calls = 1e6;
/// Number of calls below which a failure rate or a mean latency is not used.
constexpr double min_sample_calls = 10.0;
/// With fewer hosts, the median may be the latency of an outlier itself.
constexpr std::size_t min_latency_peers = 4;
/// Typical latency before any has been measured.
constexpr double default_latency_s = 0.1;
constexpr double seconds_per_microsecond = 1e-6;

}  // namespace

void OutlierDetector::record_call(HostStatus& host, CallResult result, Duration latency) {
    const bool succeeded = result == CallResult::ok;
    host.sample_calls = std::min(host.sample_calls + 1.0, max_sample_calls);
    const double factor = std::max(min_smoothing_factor, 1.0 / host.sample_calls);
    host.failure_rate += factor * ((succeeded ? 0.0 : 1.0) - host.failure_rate);
    host.consecutive_failures = succeeded ? 0 : host.consecutive_failures + 1;
    if (!succeeded)
        return;
    const double latency_s = static_cast<double>(latency.count()) * seconds_per_microsecond;
    const double latency_factor = host.mean_latency_s <= 0.0 ? 1.0 : factor;
    host.mean_latency_s += latency_factor * (latency_s - host.mean_latency_s);
}

HealthAssessment OutlierDetector::assess(const HostStatus& host) const {
    if (host.consecutive_failures >= settings_.eject_after_failures)
        return HealthAssessment::too_many_consecutive_failures;
    if (host.sample_calls >= min_sample_calls && host.failure_rate > settings_.max_failure_rate)
        return HealthAssessment::failure_rate_too_high;
    if (host.consecutive_failures >= settings_.suspect_after_failures)
        return HealthAssessment::failing;
    return host.consecutive_failures == 0 ? HealthAssessment::succeeding : HealthAssessment::inconclusive;
}

std::optional<double> OutlierDetector::update_latency_limit_s(std::vector<double> peer_latencies_s) {
    if (peer_latencies_s.empty())
        return std::nullopt;
    const auto middle = peer_latencies_s.begin() + static_cast<std::ptrdiff_t>(peer_latencies_s.size() / 2);
    std::nth_element(peer_latencies_s.begin(), middle, peer_latencies_s.end());
    const double median_s = *middle;
    const double factor = typical_latency_s_ <= 0.0 ? 1.0 : median_smoothing_factor;
    typical_latency_s_ += factor * (median_s - typical_latency_s_);
    if (peer_latencies_s.size() < min_latency_peers)
        return std::nullopt;
    return settings_.max_latency_ratio * median_s;
}

bool OutlierDetector::is_slow(const HostStatus& host, double latency_limit_s) {
    return host.sample_calls >= min_sample_calls && host.mean_latency_s > latency_limit_s;
}

bool OutlierDetector::can_eject(std::size_t host_count, std::size_t ejected_count) const {
    const double max_ejected =
        std::max<double>(1.0, settings_.max_ejected_fraction * static_cast<double>(host_count));
    return host_count >= 2 && static_cast<double>(ejected_count + 1) <= max_ejected;
}

Duration OutlierDetector::ejection_time(std::uint32_t consecutive_ejections) const {
    Duration length = settings_.base_ejection_time;
    for (std::uint32_t i = 1; i < consecutive_ejections && length < settings_.max_ejection_time; ++i)
        length *= 2;
    return std::min(length, settings_.max_ejection_time);
}

double OutlierDetector::typical_latency_s() const {
    return typical_latency_s_ > 0.0 ? typical_latency_s_ : default_latency_s;
}

}  // namespace cressledge::upstream_health
