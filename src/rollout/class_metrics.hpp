/// What a process has served, by request class, as its admin address says it, and what it served between two moments.
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

/// Requests of one class by their outcome. Numbers are whole, and kept as doubles for the statistics.
struct ClassMetrics {
    double ok = 0.0;
    double shed = 0.0;
    double errors = 0.0;
    /// Those of `ok` that were answered after the latency objective.
    double late = 0.0;
    LatencyCounts latency_counts{};

    /// All requests of the class, whatever their outcome.
    double total() const { return ok + shed + errors; }
    ClassMetrics& operator+=(const ClassMetrics& other);
    ClassMetrics& operator-=(const ClassMetrics& other);
};

/// By the name of the request class.
using MetricsByClass = std::map<std::string, ClassMetrics>;

MetricsByClass& operator+=(MetricsByClass& sum, const MetricsByClass& other);

/// The sum over all request classes.
ClassMetrics sum_over_classes(const MetricsByClass& metrics);

/// What was counted between `earlier` and `later`, class by class; none where a number has fallen, which means that the
/// process was restarted between the two.
std::optional<MetricsByClass> difference(const MetricsByClass& earlier, const MetricsByClass& later);

/// The number of latencies in all buckets.
double total_count(const LatencyCounts& counts);

/// The bucket that holds the `quantile` (0 to 1) of `counts`.
std::size_t quantile_bucket(const LatencyCounts& counts, double quantile);

/// Reads the body of `GET /v1/metrics`, lines of NAME=NUMBER. Other lines, and numbers that no process can have counted,
/// are passed over.
MetricsByClass parse_metrics(std::string_view text);

}  // namespace cressledge::rollout
