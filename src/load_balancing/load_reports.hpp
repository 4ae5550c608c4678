// What a host says of its own load, in a header of its answers: `Endpoint-Load-Metrics` in the text form of ORCA (Open
// Request Cost Aggregation, xDS). The named metrics below are read and all others are passed over:
//
//   Endpoint-Load-Metrics: TEXT named_metrics.in_flight=12, named_metrics.capacity=8, named_metrics.latency_ms=31.5
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cressledge::load_balancing {

/// A host's report of its own load.
struct LoadReport {
    double in_flight = 0.0;
    /// Calls that it works on at once; above 0.
    double capacity = 1.0;
    /// Of recent answers at about this load, seconds; 0: not reported.
    double latency_s = 0.0;

    /// Calls in flight, and so many more, over the capacity: 1 is as much as the host does at once.
    double utilization(double extra_calls = 0.0) const { return (in_flight + extra_calls) / capacity; }
};

/// Name of the header, lower case.
constexpr std::string_view load_report_header = "endpoint-load-metrics";
/// Longest value that is read.
constexpr std::size_t max_load_report_bytes = 256;

/// None for a value that is not in that form, too long, or without in_flight and a capacity above 0 (each at most a
/// million): a report is taken whole or not at all.
std::optional<LoadReport> parse_load_report(std::string_view value);
/// The value of the header.
std::string format_load_report(const LoadReport& load);

}  // namespace cressledge::load_balancing
