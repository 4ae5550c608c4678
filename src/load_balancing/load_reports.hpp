// A server's word on its load, in a header of its answers: `Endpoint-Load-Metrics` in the text form of ORCA (Open
// Request Cost Aggregation, xDS), of which these named metrics are read and the rest passed over:
//
//   Endpoint-Load-Metrics: TEXT named_metrics.in_flight=12, named_metrics.capacity=8, named_metrics.latency_ms=31.5
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "load_balancing/load_probes.hpp"

namespace cressledge::load_balancing {

constexpr std::string_view load_report_header = "endpoint-load-metrics";  // lower case
constexpr std::size_t max_load_report_bytes = 256;  // bytes of the value

// None: not in that form, over its bound, or without in_flight and a capacity above 0 (each at most a million).
std::optional<LoadReport> parse_load_report(std::string_view value);
std::string format_load_report(const LoadReport& load);  // the value

}  // namespace cressledge::load_balancing
