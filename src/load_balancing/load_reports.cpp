#include "load_balancing/load_reports.hpp"

#include <charconv>
#include <cmath>

namespace cressledge::load_balancing {
namespace {

constexpr double max_metric_value = 1e6;

std::string_view trimmed(std::string_view s) {
    while (!s.empty() && (s.front() == ' ' || s.front() == '\t'))
        s.remove_prefix(1);
    while (!s.empty() && (s.back() == ' ' || s.back() == '\t'))
        s.remove_suffix(1);
    return s;
}

}  // namespace

std::optional<LoadReport> parse_load_report(std::string_view value) {
    if (value.size() > max_load_report_bytes)
        return std::nullopt;
    value = trimmed(value);
    if (value.substr(0, 5) != "TEXT ")
        return std::nullopt;
    value.remove_prefix(5);
    std::optional<double> in_flight, capacity;
    double latency_ms = 0.0;
    while (!value.empty()) {
        const std::size_t end = std::min(value.find(','), value.size());
        const std::string_view pair = trimmed(value.substr(0, end));
        value.remove_prefix(std::min(end + 1, value.size()));
        const std::size_t is = pair.find('=');
        if (is == std::string_view::npos)
            return std::nullopt;
        const std::string_view name = trimmed(pair.substr(0, is)), text = trimmed(pair.substr(is + 1));
        double n = 0.0;
        const auto [stop, bad] = std::from_chars(text.data(), text.data() + text.size(), n);
        // Guards every choice against a figure that no comparison holds for.
        if (bad != std::errc() || stop != text.data() + text.size() || !std::isfinite(n) || n < 0.0 ||
            n > max_metric_value)
            return std::nullopt;
        if (name == "named_metrics.in_flight")
            in_flight = n;
        if (name == "named_metrics.capacity")
            capacity = n;
        if (name == "named_metrics.latency_ms")
            latency_ms = n;
    }
    if (!in_flight || !capacity || *capacity <= 0.0)
        return std::nullopt;
    return LoadReport{*in_flight, *capacity, latency_ms * 1e-3};
}

std::string format_load_report(const LoadReport& load) {
    return "TEXT named_metrics.in_flight=" + std::to_string(load.in_flight) +
           ", named_metrics.capacity=" + std::to_string(load.capacity) +
           ", named_metrics.latency_ms=" + std::to_string(load.latency_s * 1e3);
}

}  // namespace cressledge::load_balancing
