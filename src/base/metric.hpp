/// The metric type of the admin address. docs/operators/ lists the names and meanings of the metrics.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cressledge::base {

/// A counter or gauge of `GET /v1/metrics`: a dotted name and an integer value.
struct Metric {
    Metric(std::string metric_name, std::uint64_t metric_value)
        : name(std::move(metric_name)), value(metric_value) {}

    std::string name;
    std::uint64_t value = 0;
};

/// A list of metrics in output order.
using Metrics = std::vector<Metric>;

}  // namespace cressledge::base
