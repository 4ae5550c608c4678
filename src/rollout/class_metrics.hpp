/// Request counters of a process by request class, as its admin address reports them, and their differences over time.
/// No I/O.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/latency_histogram.hpp"

namespace cressledge::rollout {

using base::Duration;
using base::Timestamp;

/// Number of served requests in each bucket of `base::LatencyHistogram`.
using LatencyCounts = std::array<double, base::LatencyHistogram::bucket_count>;

/// Requests of one class by outcome. The values are whole numbers, stored as doubles for the statistics.
struct ClassMetrics {
    double ok = 0.0;
    double shed = 0.0;
    double errors = 0.0;
    /// Requests counted in `ok` that took longer than the latency objective.
    double late = 0.0;
    LatencyCounts latency_counts{};

    /// All requests of the class, with any outcome.
    double total() const { return ok + shed + errors; }
    ClassMetrics& operator+=(const ClassMetrics& other);
    ClassMetrics& operator-=(const ClassMetrics& other);
};

/// Metrics by the name of the request class.
using MetricsByClass = std::map<std::string, ClassMetrics>;

/// Adds the metrics of each class of `other` to those of `sum`.
MetricsByClass& operator+=(MetricsByClass& sum, const MetricsByClass& other);

/// Returns the sum over all request classes.
ClassMetrics sum_over_classes(const MetricsByClass& metrics);

/// Returns the increase from `earlier` to `later` for each class; none if a counter decreased, which means that the
/// process was restarted in between.
std::optional<MetricsByClass> difference(const MetricsByClass& earlier, const MetricsByClass& later);

/// Returns the number of latencies in all buckets.
double total_count(const LatencyCounts& counts);

/// Returns the index of the bucket that holds the `quantile` (0 to 1) of `counts`.
std::size_t quantile_bucket(const LatencyCounts& counts, double quantile);

/// Parses the body of `GET /v1/metrics`, lines of NAME=NUMBER. Other lines and numbers outside the possible range of a
/// counter are skipped.
MetricsByClass parse_metrics(std::string_view text);

}  // namespace cressledge::rollout
