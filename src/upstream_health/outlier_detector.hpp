// Passive outlier detection: finds hosts that fail or are much slower than the others. It does not change health
// states; `HostSet` applies the assessments. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "upstream_health/health_settings.hpp"
#include "upstream_health/host.hpp"

namespace cressledge::upstream_health {

/// Assessment of a host by its recent calls and health checks.
enum class HealthAssessment : std::uint8_t {
    /// The last call or check succeeded.
    succeeding,
    /// There are consecutive failures, but too few to suspect the host.
    inconclusive,
    /// There are enough consecutive failures to suspect the host.
    failing,
    /// Outlier: too many consecutive failures.
    too_many_consecutive_failures,
    /// Outlier: the failure rate is too high.
    failure_rate_too_high,
};

/// Updates the call statistics of hosts and finds outliers by them. It stores the typical latency but no hosts.
class OutlierDetector {
public:
    explicit OutlierDetector(const HealthSettings& settings) : settings_(settings) {}

    /// Replaces the settings from the next assessment on; the typical latency is kept.
    void reconfigure(const HealthSettings& settings) { settings_ = settings; }

    /// Updates the statistics of a host with the result of a call. `latency` is used only if the call succeeded.
    static void record_call(HostStatus& host, CallResult result, Duration latency);

    /// Assesses a host by its consecutive failures and its failure rate.
    HealthAssessment assess(const HostStatus& host) const;

    /// Updates the typical latency from the mean latencies (seconds) of all ready hosts, in any order. Returns the
    /// latency above which a host is an outlier, or none if there are too few hosts to compare.
    std::optional<double> update_latency_limit_s(std::vector<double> peer_latencies_s);

    /// Whether a host has enough calls and its mean latency is above the limit.
    static bool is_slow(const HostStatus& host, double latency_limit_s);

    /// Whether one more of `host_count` hosts may be ejected when `ejected_count` are ejected already. Of two or more
    /// hosts, one may always be ejected.
    bool can_eject(std::size_t host_count, std::size_t ejected_count) const;

    /// Duration of the `consecutive_ejections`-th ejection (counted from 1). It doubles with each one, up to
    /// `max_ejection_time`.
    Duration ejection_time(std::uint32_t consecutive_ejections) const;

    /// Smoothed median latency of the ready hosts in seconds; a default value before the first update.
    double typical_latency_s() const;

private:
    HealthSettings settings_;
    /// 0 before the first update.
    double typical_latency_s_ = 0.0;
};

}  // namespace cressledge::upstream_health
