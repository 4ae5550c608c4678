// Load reports that hosts send in the response header `Endpoint-Load-Metrics`, in the text format of ORCA (Open Request
// Cost Aggregation, xDS). The named metrics below are read, all others are ignored:
//
//   Endpoint-Load-Metrics: TEXT named_metrics.in_flight=12, named_metrics.capacity=8, named_metrics.latency_ms=31.5
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cressledge::load_balancing {

/// A host's report of its own load.
struct LoadReport {
    /// Calls in flight.
    double in_flight = 0.0;
    /// Number of calls that the host executes concurrently; above 0.
    double capacity = 1.0;
    /// Latency of recent calls at about this load, in seconds; 0 if not reported.
    double latency_s = 0.0;

    /// Calls in flight plus `extra_calls`, divided by the capacity; 1 when the host is fully used.
    double utilization(double extra_calls = 0.0) const { return (in_flight + extra_calls) / capacity; }
};

/// Name of the response header, in lower case.
constexpr std::string_view load_report_header = "endpoint-load-metrics";
/// Longest header value that is parsed.
constexpr std::size_t max_load_report_bytes = 256;

/// Parses a header value. Returns none if the value is malformed or too long, or lacks in_flight or a capacity above 0;
/// each metric is at most a million. A report with any invalid entry is rejected as a whole.
std::optional<LoadReport> parse_load_report(std::string_view value);
/// Formats a load report as a header value.
std::string format_load_report(const LoadReport& load);

}  // namespace cressledge::load_balancing
