#include "rollout/class_metrics.hpp"

#include <charconv>

namespace cressledge::rollout {
namespace {

constexpr std::string_view responses_prefix = "node.responses.", latency_prefix = "node.took.";
constexpr double max_metric_value = 1e15;

}  // namespace

ClassMetrics& ClassMetrics::operator+=(const ClassMetrics& o) {
    ok += o.ok, shed += o.shed, errors += o.errors, late += o.late;
    for (std::size_t i = 0; i < latency_counts.size(); ++i)
        latency_counts[i] += o.latency_counts[i];
    return *this;
}
ClassMetrics& ClassMetrics::operator-=(const ClassMetrics& o) {
    ok -= o.ok, shed -= o.shed, errors -= o.errors, late -= o.late;
    for (std::size_t i = 0; i < latency_counts.size(); ++i)
        latency_counts[i] -= o.latency_counts[i];
    return *this;
}

MetricsByClass& operator+=(MetricsByClass& a, const MetricsByClass& b) {
    for (const auto& [name, f] : b)
        a[name] += f;
    return a;
}

std::optional<MetricsByClass> difference(const MetricsByClass& a, const MetricsByClass& b) {
    MetricsByClass d = b;
    for (const auto& [name, f] : a) {
        const auto it = d.find(name);
        if (it == d.end())
            return std::nullopt;
        it->second -= f;
        const ClassMetrics& x = it->second;
        if (x.ok < 0.0 || x.shed < 0.0 || x.errors < 0.0 || x.late < 0.0)
            return std::nullopt;
    }
    return d;
}

MetricsByClass parse_metrics(std::string_view text) {
    MetricsByClass all;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t is = line.find('=');
        const bool is_response = line.rfind(responses_prefix, 0) == 0,
                   is_time = line.rfind(latency_prefix, 0) == 0;
        if (is == std::string_view::npos || (!is_response && !is_time))
            continue;
        double n = 0.0;
        const auto [stop, bad] = std::from_chars(line.data() + is + 1, line.data() + line.size(), n);
        // Guards every sum against a figure that no process can have.
        if (bad != std::errc() || stop != line.data() + line.size() || !(n >= 0.0 && n <= max_metric_value))
            continue;
        const std::string_view name =
            line.substr(is_time ? latency_prefix.size() : responses_prefix.size(),
                        is - (is_time ? latency_prefix.size() : responses_prefix.size()));
        const std::size_t dot = name.rfind('.');
        if (dot == std::string_view::npos || dot == 0)
            continue;
        ClassMetrics& f = all[std::string(name.substr(0, dot))];
        const std::string_view what = name.substr(dot + 1);
        if (is_time) {
            std::uint64_t us = 0;
            const auto [at, wrong] = std::from_chars(what.data(), what.data() + what.size(), us);
            if (wrong != std::errc() || at != what.data() + what.size())
                continue;
            for (std::size_t i = 0; i < f.latency_counts.size(); ++i)
                if (base::LatencyHistogram::bucket_upper_bound_us(i) == us)
                    f.latency_counts[i] = n;
        } else if (what == "ok") {
            f.ok = n;
        } else if (what == "shed") {
            f.shed = n;
        } else if (what == "errors") {
            f.errors = n;
        } else if (what == "late") {
            f.late = n;
        }
    }
    return all;
}

}  // namespace cressledge::rollout
