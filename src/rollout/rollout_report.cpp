#include "rollout/rollout_report.hpp"

namespace cressledge::rollout {
namespace {

using nlohmann::ordered_json;

constexpr double milliseconds_per_microsecond = 1e-3;

/// Returns a latency quantile, rounded up to the upper bound of its bucket, in milliseconds; 0 without served requests.
double quantile_ms(const LatencyCounts& counts, double quantile) {
    if (total_count(counts) <= 0.0)
        return 0.0;
    const std::uint64_t bound_us =
        base::LatencyHistogram::bucket_upper_bound_us(quantile_bucket(counts, quantile));
    return static_cast<double>(bound_us) * milliseconds_per_microsecond;
}

ordered_json summarize(const ClassMetrics& metrics) {
    return {{"ok", metrics.ok},
            {"shed", metrics.shed},
            {"errors", metrics.errors},
            {"late", metrics.late},
            {"p50_ms", quantile_ms(metrics.latency_counts, 0.5)},
            {"p99_ms", quantile_ms(metrics.latency_counts, 0.99)}};
}

ordered_json summarize(const MetricsByClass& metrics) {
    ordered_json summaries = ordered_json::object();
    for (const auto& [class_name, class_metrics] : metrics)
        summaries[class_name] = summarize(class_metrics);
    return summaries;
}

ordered_json to_json(const ClassComparison& comparison) {
    return {{"class", comparison.class_name},
            {"figure", comparison.metric},
            {"changed", comparison.canary_value},
            {"unchanged", comparison.baseline_value},
            {"margin", comparison.tolerance},
            {"p", comparison.p_value},
            {"worse", comparison.outcome == ComparisonOutcome::worse}};
}

}  // namespace

ordered_json to_json(const StageReport& report) {
    ordered_json comparisons = ordered_json::array();
    for (const ClassComparison& comparison : report.analysis.comparisons)
        comparisons.push_back(to_json(comparison));
    ordered_json metrics;
    metrics["changed"] = summarize(report.analysis.canary);
    metrics["unchanged"] = summarize(report.analysis.baseline);
    return {{"stage", report.stage_index},
            {"changed", report.canary_count},
            {"unchanged", report.baseline_count},
            {"began_us", report.started_at.count()},
            {"baked_from_us", report.bake_started_at.count()},
            {"ended_us", report.ended_at.count()},
            {"verdict", to_string(report.verdict)},
            {"why", report.reason},
            {"holds", report.wait_reasons},
            {"findings", std::move(comparisons)},
            {"figures", std::move(metrics)}};
}

ordered_json to_json(const TrafficSample& sample) {
    return {{"at_us", sample.taken_at.count()},
            {"stage", sample.stage_index},
            {"phase", to_string(sample.phase)},
            {"changed", summarize(sample.canary)},
            {"unchanged", summarize(sample.baseline)}};
}

}  // namespace cressledge::rollout
