/// Automated canary analysis: whether the processes with a change (the canary) do worse than those without it (the
/// baseline), over one window and class by class. No I/O.
///
/// Four metrics of each request class are compared: errors and shed requests (of all requests), late answers (of the
/// served) and latencies. Latencies by the Mann-Whitney effect, the probability that an answer of the canary is slower
/// than one of the baseline (0.5: neither is), and by the share of answers above the baseline's 99th percentile.
///
/// A metric is worse when three things hold. The difference exceeds its tolerance, which is what operators care about.
/// It is more than chance explains for so many requests, at `significance_level` divided among all comparisons of a
/// rollout (Bonferroni). And it is more than the differences between processes explain, at `max_worse_p_value`:
/// machines, neighbours and callers make processes of one version differ for good, so each is held against what it was
/// itself before its change, as far as that is known, and else against the baseline (`process_p_value`). This guards a
/// good change on a noisy machine against being rolled back for the machine's sake. What is worse, but not so clearly,
/// is suspect: a longer window, or more processes, will tell.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "rollout/class_metrics.hpp"

namespace cressledge::rollout {

/// How much worse the canary may be, and how sure a verdict has to be.
struct Tolerances {
    /// Largest accepted differences of rates, canary above baseline.
    double error_rate = 0.005;
    double shed_rate = 0.01;
    double late_rate = 0.01;
    /// Largest accepted probability that an answer of the canary is slower.
    double slower_probability = 0.56;
    /// Largest accepted difference of the share above the baseline's 99th percentile.
    double tail_rate = 0.015;
    /// Probability that a good change is rolled back anywhere in a rollout.
    double significance_level = 0.01;
    /// Below these a difference that processes may have is worse, or suspect.
    double max_worse_p_value = 0.0001;
    double max_suspect_p_value = 0.1;
    /// Comparisons of a whole rollout, among which `significance_level` is divided.
    double planned_comparisons = 100.0;
    /// Requests of the canary in the window without which there is no verdict.
    double min_requests = 150.0;
    std::size_t min_baseline_processes = 3;
};

/// How one metric of the canary compares with the baseline: within its tolerance or explained by chance; beyond it, but
/// not certainly so; or certainly beyond it.
enum class ComparisonOutcome : std::uint8_t { acceptable, suspect, worse };

/// Canary against baseline in one metric of one request class.
struct ClassComparison {
    std::string class_name;
    std::string metric;
    double canary_value = 0.0;
    double baseline_value = 0.0;
    double tolerance = 0.0;
    /// Of the pooled test.
    double p_value = 1.0;
    ComparisonOutcome outcome = ComparisonOutcome::acceptable;
};

/// Whether the rollout goes on, waits for more observations, or is rolled back.
enum class CanaryVerdict : std::uint8_t { pass, inconclusive, fail };

/// The word for `verdict` in reports.
const char* to_string(CanaryVerdict verdict);

/// The verdict on one window of observations, with everything it rests on.
struct CanaryAnalysis {
    CanaryVerdict verdict = CanaryVerdict::inconclusive;
    /// Why the verdict is not `pass`.
    std::string reason;
    /// The verdict is inconclusive, and would be `pass` but for a suspect comparison.
    bool is_suspect = false;
    /// Every comparison that could be made.
    std::vector<ClassComparison> comparisons;
    /// Sums over the processes of each group.
    MetricsByClass canary;
    MetricsByClass baseline;
};

/// What one process did.
struct ProcessMetrics {
    /// In the window that is analyzed.
    MetricsByClass window;
    /// Before its change, or, for a process of the baseline, before the window; empty: not known.
    MetricsByClass prior;
};

/// Compares the two groups class by class. Inconclusive where the canary has too few requests or the baseline too few
/// processes; see `Tolerances`.
CanaryAnalysis analyze_canary(const std::vector<ProcessMetrics>& canary,
                              const std::vector<ProcessMetrics>& baseline, const Tolerances& tolerances);

}  // namespace cressledge::rollout
