#include "load_balancing/load_reports.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cressledge::load_balancing {
namespace {

constexpr std::string_view text_format_prefix = "TEXT ";
constexpr double max_metric_value = 1e6;
constexpr double seconds_per_ms = 1e-3;
constexpr double ms_per_second = 1e3;

std::string_view trimmed(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    const std::size_t begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

/// Removes the entry before the first comma from `list` and returns it trimmed.
std::string_view take_entry(std::string_view& list) {
    const std::size_t end = std::min(list.find(','), list.size());
    const std::string_view entry = trimmed(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
    return entry;
}

/// Parses a finite number from 0 to `max_metric_value`. NaN is rejected, as every comparison of loads with it is false.
std::optional<double> parse_metric(std::string_view text) {
    double value = 0.0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    const bool is_number = error == std::errc() && stop == end && std::isfinite(value);
    if (!is_number || value < 0.0 || value > max_metric_value)
        return std::nullopt;
    return value;
}

}  // namespace

std::optional<LoadReport> parse_load_report(std::string_view value) {
    if (value.size() > max_load_report_bytes)
        return std::nullopt;
    value = trimmed(value);
    if (value.substr(0, text_format_prefix.size()) != text_format_prefix)
        return std::nullopt;
    value.remove_prefix(text_format_prefix.size());
    std::optional<double> in_flight;
    std::optional<double> capacity;
    double latency_ms = 0.0;
    while (!value.empty()) {
        const std::string_view entry = take_entry(value);
        const std::size_t equals_sign = entry.find('=');
        if (equals_sign == std::string_view::npos)
            return std::nullopt;
        const std::string_view name = trimmed(entry.substr(0, equals_sign));
        const std::optional<double> metric = parse_metric(trimmed(entry.substr(equals_sign + 1)));
        if (!metric)
            return std::nullopt;
        if (name == "named_metrics.in_flight")
            in_flight = metric;
        if (name == "named_metrics.capacity")
            capacity = metric;
        if (name == "named_metrics.latency_ms")
            latency_ms = *metric;
    }
    if (!in_flight || !capacity || *capacity <= 0.0)
        return std::nullopt;
    return LoadReport{*in_flight, *capacity, latency_ms * seconds_per_ms};
}

std::string format_load_report(const LoadReport& load) {
    return "TEXT named_metrics.in_flight=" + std::to_string(load.in_flight) +
           ", named_metrics.capacity=" + std::to_string(load.capacity) +
           ", named_metrics.latency_ms=" + std::to_string(load.latency_s * ms_per_second);
}

}  // namespace cressledge::load_balancing
