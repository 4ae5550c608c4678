/// Automated canary analysis: compares the processes with a change (the canary) with those without it (the baseline)
/// over one time window, for each request class. No I/O.
///
/// Four metrics of each request class are compared: errors and shed requests (as fractions of all requests), late
/// responses (as a fraction of the served requests) and latencies. Latencies are compared by the Mann-Whitney effect,
/// which is the probability that a response of the canary is slower than one of the baseline (0.5 if they are equal),
/// and by the fraction of responses above the 99th percentile of the baseline.
///
/// A metric is worse if three conditions hold:
/// - The difference exceeds its tolerance, so that it matters to operators.
/// - The difference is statistically significant for the number of requests, at `significance_level` divided by the
///   number of comparisons of a rollout (Bonferroni correction).
/// - The difference exceeds the usual variation between processes, at `max_worse_p_value`. Processes of one version
///   differ permanently because of their machines, neighbours and callers. Each process is therefore compared with its
///   own metrics before its change if they are known, otherwise with the baseline (`process_p_value`). This prevents
///   the rollback of a good change because of a noisy machine.
///
/// A difference that meets the first two conditions and the third only at `max_suspect_p_value` is suspect: a longer
/// window or more processes decide.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "rollout/class_metrics.hpp"

namespace cressledge::rollout {

/// Accepted differences between canary and baseline, and the significance levels of a verdict.
struct Tolerances {
    /// Largest accepted excess of each rate of the canary over that of the baseline.
    double error_rate = 0.005;
    double shed_rate = 0.01;
    double late_rate = 0.01;
    /// Largest accepted probability that a response of the canary is slower (Mann-Whitney effect).
    double slower_probability = 0.56;
    /// Largest accepted excess of the fraction of responses above the baseline's 99th percentile.
    double tail_rate = 0.015;
    /// Probability that a good change is rolled back in any stage of a rollout.
    double significance_level = 0.01;
    /// Upper limits of the p-value of `process_p_value` for a worse and for a suspect metric.
    double max_worse_p_value = 0.0001;
    double max_suspect_p_value = 0.1;
    /// Number of comparisons in a rollout, by which `significance_level` is divided.
    double planned_comparisons = 100.0;
    /// Requests to the canary in the window that a verdict needs.
    double min_requests = 150.0;
    /// Baseline processes that a verdict needs.
    std::size_t min_baseline_processes = 3;
};

/// Result of comparing one metric. `acceptable`: within its tolerance or explained by chance; `suspect`: beyond its
/// tolerance, but possibly explained by the variation between processes; `worse`: significantly beyond its tolerance.
enum class ComparisonOutcome : std::uint8_t { acceptable, suspect, worse };

/// Canary compared with baseline in one metric of one request class.
struct ClassComparison {
    std::string class_name;
    std::string metric;
    double canary_value = 0.0;
    double baseline_value = 0.0;
    double tolerance = 0.0;
    /// p-value of the pooled test (`pooled_p_value`).
    double p_value = 1.0;
    ComparisonOutcome outcome = ComparisonOutcome::acceptable;
};

/// Whether the rollout continues, waits for more observations, or is rolled back.
enum class CanaryVerdict : std::uint8_t { pass, inconclusive, fail };

/// Returns the name of `verdict` in reports.
const char* to_string(CanaryVerdict verdict);

/// The verdict on one window of observations, with the data that it is based on.
struct CanaryAnalysis {
    CanaryVerdict verdict = CanaryVerdict::inconclusive;
    /// Why the verdict is not `pass`.
    std::string reason;
    /// Whether the verdict is inconclusive only because of a suspect comparison.
    bool is_suspect = false;
    /// All comparisons for which both groups had data.
    std::vector<ClassComparison> comparisons;
    /// Metrics summed over the processes of each group.
    MetricsByClass canary;
    MetricsByClass baseline;
};

/// Request metrics of one process.
struct ProcessMetrics {
    /// Metrics in the analyzed window.
    MetricsByClass window;
    /// Metrics before its change or, for a process of the baseline, before the window; empty if unknown.
    MetricsByClass prior;
};

/// Compares the two groups for each request class. The verdict is inconclusive if the canary has too few requests
/// or the baseline too few processes; see `Tolerances`.
CanaryAnalysis analyze_canary(const std::vector<ProcessMetrics>& canary,
                              const std::vector<ProcessMetrics>& baseline, const Tolerances& tolerances);

}  // namespace cressledge::rollout
