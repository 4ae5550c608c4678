// What a process has done, as its control address tells it, and what it did between two moments. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/latency_histogram.hpp"

namespace cressledge::rollout {

using base::Duration;
using base::Timestamp;

struct ClassMetrics {  // of one class
    double ok = 0.0, shed = 0.0, errors = 0.0, late = 0.0;
    std::array<double, base::LatencyHistogram::bucket_count> latency_counts{};
    double total() const { return ok + shed + errors; }
    ClassMetrics& operator+=(const ClassMetrics& o);
    ClassMetrics& operator-=(const ClassMetrics& o);
};
using MetricsByClass = std::map<std::string, ClassMetrics>;

MetricsByClass& operator+=(MetricsByClass& a, const MetricsByClass& b);
// b - a, class by class; none where any figure has fallen: the process was started anew between the two.
std::optional<MetricsByClass> difference(const MetricsByClass& a, const MetricsByClass& b);

// From `GET /v1/metrics`: lines NAME=NUMBER. Anything else in it is passed over.
MetricsByClass parse_metrics(std::string_view text);

}  // namespace cressledge::rollout
