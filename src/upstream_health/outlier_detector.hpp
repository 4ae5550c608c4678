// Passive outlier detection: which host fails, or is slow beside its peers. It assesses figures and changes no state:
// what follows from an assessment is up to `HostSet`. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "upstream_health/health_settings.hpp"
#include "upstream_health/host.hpp"

namespace cressledge::upstream_health {

/// What the recent calls and health checks of a host say of it.
enum class HealthAssessment : std::uint8_t {
    /// The last one succeeded.
    succeeding,
    /// Some failed in a row, too few to suspect it.
    inconclusive,
    /// Enough failed in a row to suspect it.
    failing,
    /// An outlier: too many failed in a row.
    too_many_consecutive_failures,
    /// An outlier: too large a fraction fails.
    failure_rate_too_high,
};

/// Keeps the smoothed figures of hosts and tells outliers by them; holds no host itself.
class OutlierDetector {
public:
    explicit OutlierDetector(const HealthSettings& settings) : settings_(settings) {}

    /// Takes effect with the next assessment; the typical latency stays.
    void reconfigure(const HealthSettings& settings) { settings_ = settings; }

    /// Takes the result of a call into the smoothed figures of its host. `latency` counts where it succeeded.
    static void record_call(HostStatus& host, CallResult result, Duration latency);

    /// What the failures of a host, in a row and as a fraction, say of it.
    HealthAssessment assess(const HostStatus& host) const;

    /// Takes the latencies (seconds) of all hosts that serve regularly, in any order. Returns the latency above which
    /// a host is an outlier among them; none where there are too few to compare.
    std::optional<double> update_latency_limit_s(std::vector<double> peer_latencies_s);

    /// Whether the mean latency of a host, over enough calls, is above the limit.
    static bool is_slow(const HostStatus& host, double latency_limit_s);

    /// Whether another of `host_count` hosts may be ejected, with `ejected_count` ejected already. One always may, of
    /// two or more.
    bool can_eject(std::size_t host_count, std::size_t ejected_count) const;

    /// Length of an ejection: doubles with each consecutive one (counted from 1) up to its bound.
    Duration ejection_time(std::uint32_t consecutive_ejections) const;

    /// Smoothed median latency of all hosts, seconds; a default before anything is known.
    double typical_latency_s() const;

private:
    HealthSettings settings_;
    /// 0: nothing is known yet.
    double typical_latency_s_ = 0.0;
};

}  // namespace cressledge::upstream_health
