#include "rollout/class_metrics.hpp"

#include <algorithm>
#include <numeric>

namespace cressledge::rollout {

ClassMetrics& ClassMetrics::operator+=(const ClassMetrics& other) {
    ok += other.ok;
    shed += other.shed;
    errors += other.errors;
    late += other.late;
    for (std::size_t i = 0; i < latency_counts.size(); ++i)
        latency_counts[i] += other.latency_counts[i];
    return *this;
}

ClassMetrics& ClassMetrics::operator-=(const ClassMetrics& other) {
    ok -= other.ok;
    shed -= other.shed;
    errors -= other.errors;
    late -= other.late;
    for (std::size_t i = 0; i < latency_counts.size(); ++i)
        latency_counts[i] -= other.latency_counts[i];
    return *this;
}

MetricsByClass& operator+=(MetricsByClass& sum, const MetricsByClass& other) {
    for (const auto& [class_name, metrics] : other)
        sum[class_name] += metrics;
    return sum;
}

ClassMetrics sum_over_classes(const MetricsByClass& metrics) {
    ClassMetrics sum;
    for (const auto& [class_name, class_metrics] : metrics)
        sum += class_metrics;
    return sum;
}

std::optional<MetricsByClass> difference(const MetricsByClass& earlier, const MetricsByClass& later) {
    MetricsByClass result = later;
    for (const auto& [class_name, metrics] : earlier) {
        const auto found = result.find(class_name);
        if (found == result.end())
            return std::nullopt;
        ClassMetrics& change = found->second;
        change -= metrics;
        if (change.ok < 0.0 || change.shed < 0.0 || change.errors < 0.0 || change.late < 0.0)
            return std::nullopt;
    }
    return result;
}

double total_count(const LatencyCounts& counts) {
    return std::accumulate(counts.begin(), counts.end(), 0.0);
}

std::size_t quantile_bucket(const LatencyCounts& counts, double quantile) {
    double remaining = quantile * total_count(counts);
    std::size_t bucket = 0;
    while (bucket + 1 < counts.size()) {
        remaining -= counts[bucket];
        if (remaining <= 0.0)
            break;
        ++bucket;
    }
    return bucket;
}

}  // namespace cressledge::rollout
