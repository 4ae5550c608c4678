/// Parses the lines `node.responses.CLASS.OUTCOME=N` and `node.took.CLASS.US=N` of `GET /v1/metrics`.
#include <algorithm>
#include <charconv>

#include "rollout/class_metrics.hpp"

namespace cressledge::rollout {
namespace {

constexpr std::string_view responses_prefix = "node.responses.";
constexpr std::string_view latency_prefix = "node.took.";
/// Larger values are rejected as implausible, to protect the sums.
constexpr double max_metric_value = 1e15;

/// Parses all of `text` as a number; none if it is not one.
template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number number{};
    const char* const end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || position != end)
        return std::nullopt;
    return number;
}

void set_outcome(ClassMetrics& metrics, std::string_view outcome, double value) {
    if (outcome == "ok")
        metrics.ok = value;
    else if (outcome == "shed")
        metrics.shed = value;
    else if (outcome == "errors")
        metrics.errors = value;
    else if (outcome == "late")
        metrics.late = value;
}

/// Sets the count of the bucket with the name `bucket_name`, its upper bound in microseconds.
void set_latency_count(ClassMetrics& metrics, std::string_view bucket_name, double value) {
    const std::optional<std::uint64_t> upper_bound_us = parse_number<std::uint64_t>(bucket_name);
    if (!upper_bound_us)
        return;
    for (std::size_t i = 0; i < metrics.latency_counts.size(); ++i) {
        if (base::LatencyHistogram::bucket_upper_bound_us(i) == *upper_bound_us)
            metrics.latency_counts[i] = value;
    }
}

void parse_line(std::string_view line, MetricsByClass& metrics) {
    const std::size_t equals = line.find('=');
    const bool is_response = line.rfind(responses_prefix, 0) == 0;
    const bool is_latency = line.rfind(latency_prefix, 0) == 0;
    if (equals == std::string_view::npos || (!is_response && !is_latency))
        return;
    const std::optional<double> value = parse_number<double>(line.substr(equals + 1));
    if (!value || !(*value >= 0.0 && *value <= max_metric_value))
        return;
    const std::size_t prefix_size = is_latency ? latency_prefix.size() : responses_prefix.size();
    const std::string_view name = line.substr(prefix_size, equals - prefix_size);
    const std::size_t dot = name.rfind('.');
    if (dot == std::string_view::npos || dot == 0)
        return;
    ClassMetrics& class_metrics = metrics[std::string(name.substr(0, dot))];
    if (is_latency)
        set_latency_count(class_metrics, name.substr(dot + 1), *value);
    else
        set_outcome(class_metrics, name.substr(dot + 1), *value);
}

}  // namespace

MetricsByClass parse_metrics(std::string_view text) {
    MetricsByClass metrics;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        parse_line(text.substr(0, end), metrics);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return metrics;
}

}  // namespace cressledge::rollout
