/// One figure of the admin address. Names and meanings are listed in docs/operators/.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cressledge::base {

/// A counter or gauge as `GET /v1/metrics` shows it: a dotted name and a whole number.
struct Metric {
    Metric(std::string metric_name, std::uint64_t metric_value)
        : name(std::move(metric_name)), value(metric_value) {}

    std::string name;
    std::uint64_t value = 0;
};

/// The figures of one module, in the order in which they are shown.
using Metrics = std::vector<Metric>;

}  // namespace cressledge::base
