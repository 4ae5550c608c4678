#include "rollout/canary_analysis.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <numeric>
#include <set>

#include "rollout/canary_statistics.hpp"

namespace cressledge::rollout {
namespace {

constexpr double tail_quantile = 0.99;
/// Mann-Whitney effect of two groups with equal latencies.
constexpr double neutral_effect = 0.5;
/// Size of the text buffer of a reason, in bytes.
constexpr std::size_t max_reason_size = 200;

/// Extracts one event rate from the metrics of a request class.
using RateReader = std::function<EventRate(const ClassMetrics&)>;

const ClassMetrics& metrics_of(const MetricsByClass& metrics, const std::string& class_name) {
    static const ClassMetrics none;
    const auto found = metrics.find(class_name);
    return found == metrics.end() ? none : found->second;
}

double served_count(const ClassMetrics& metrics) {
    return total_count(metrics.latency_counts);
}

double count_from_bucket(const LatencyCounts& counts, std::size_t first) {
    const std::size_t bounded = std::min(first, counts.size());
    return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(bounded), counts.end(), 0.0);
}

MetricsByClass sum_windows(const std::vector<ProcessMetrics>& processes) {
    MetricsByClass sum;
    for (const ProcessMetrics& process : processes)
        sum += process.window;
    return sum;
}

/// Compares canary and baseline in the metrics of one request class.
class ClassComparer {
public:
    ClassComparer(const std::string& class_name, const std::vector<ProcessMetrics>& canary,
                  const std::vector<ProcessMetrics>& baseline, const Tolerances& tolerances)
        : class_name_(class_name), canary_(canary), baseline_(baseline), tolerances_(tolerances) {}

    /// Compares one metric and appends the result; does nothing if either group has no trials.
    void compare(const char* metric, RateType type, double tolerance, const RateReader& read_rate,
                 std::vector<ClassComparison>& comparisons) const {
        const ProcessGroup canary = group(canary_, read_rate);
        const ProcessGroup baseline = group(baseline_, read_rate);
        if (canary.trials <= 0.0 || baseline.trials <= 0.0)
            return;
        ClassComparison comparison;
        comparison.class_name = class_name_;
        comparison.metric = metric;
        comparison.canary_value = canary.rate();
        comparison.baseline_value = baseline.rate();
        comparison.tolerance = tolerance;
        comparison.p_value = pooled_p_value(canary, baseline, type);
        if (exceeds_tolerance(comparison))
            comparison.outcome = outcome_of(process_p_value(canary, baseline, type));
        comparisons.push_back(comparison);
    }

private:
    ProcessGroup group(const std::vector<ProcessMetrics>& processes, const RateReader& read_rate) const {
        ProcessGroup rates;
        for (const ProcessMetrics& process : processes)
            rates.add(read_rate(metrics_of(process.window, class_name_)),
                      read_rate(metrics_of(process.prior, class_name_)));
        return rates;
    }

    bool exceeds_tolerance(const ClassComparison& comparison) const {
        const double excess = comparison.canary_value - comparison.baseline_value;
        const double significance_level = tolerances_.significance_level / tolerances_.planned_comparisons;
        return excess > comparison.tolerance && comparison.p_value < significance_level;
    }

    ComparisonOutcome outcome_of(double p_value) const {
        if (p_value < tolerances_.max_worse_p_value)
            return ComparisonOutcome::worse;
        if (p_value < tolerances_.max_suspect_p_value)
            return ComparisonOutcome::suspect;
        return ComparisonOutcome::acceptable;
    }

    const std::string& class_name_;
    const std::vector<ProcessMetrics>& canary_;
    const std::vector<ProcessMetrics>& baseline_;
    const Tolerances& tolerances_;
};

void compare_outcomes(const ClassComparer& comparer, const Tolerances& tolerances,
                      std::vector<ClassComparison>& comparisons) {
    comparer.compare(
        "errors", RateType::events, tolerances.error_rate,
        [](const ClassMetrics& metrics) {
            return EventRate{metrics.errors, metrics.total()};
        },
        comparisons);
    comparer.compare(
        "refusals", RateType::events, tolerances.shed_rate,
        [](const ClassMetrics& metrics) {
            return EventRate{metrics.shed, metrics.total()};
        },
        comparisons);
    comparer.compare(
        "late", RateType::events, tolerances.late_rate,
        [](const ClassMetrics& metrics) {
            return EventRate{metrics.late, metrics.ok};
        },
        comparisons);
}

/// Compares the latencies. `baseline_counts` is the latency histogram of all baseline processes together.
void compare_latencies(const ClassComparer& comparer, const LatencyCounts& baseline_counts,
                       const Tolerances& tolerances, std::vector<ClassComparison>& comparisons) {
    const std::size_t tail_start = quantile_bucket(baseline_counts, tail_quantile) + 1;
    comparer.compare(
        "above p99", RateType::events, tolerances.tail_rate,
        [tail_start](const ClassMetrics& metrics) {
            return EventRate{count_from_bucket(metrics.latency_counts, tail_start), served_count(metrics)};
        },
        comparisons);
    // The Mann-Whitney effect of each process against all of the baseline, treated as an event rate.
    comparer.compare(
        "time", RateType::ranks, tolerances.slower_probability - neutral_effect,
        [&baseline_counts](const ClassMetrics& metrics) {
            const double served = served_count(metrics);
            return EventRate{mann_whitney_effect(metrics.latency_counts, baseline_counts) * served, served};
        },
        comparisons);
}

/// Returns why there is too little data for a verdict; empty if there is enough.
std::string describe_missing_data(const CanaryAnalysis& analysis, std::size_t baseline_processes,
                                  const Tolerances& tolerances) {
    if (baseline_processes < tolerances.min_baseline_processes)
        return "too few unchanged processes to compare with";
    double canary_requests = 0.0;
    for (const auto& [class_name, metrics] : analysis.canary)
        canary_requests += metrics.total();
    if (canary_requests < tolerances.min_requests)
        return "too few requests: " + std::to_string(static_cast<long>(canary_requests)) +
               " to the changed processes";
    return "";
}

bool is_worse_than(const ClassComparison& comparison, const ClassComparison& other) {
    if (comparison.outcome != other.outcome)
        return comparison.outcome > other.outcome;
    return comparison.p_value < other.p_value;
}

/// Returns the comparison that decides the verdict; null if all are acceptable.
const ClassComparison* find_worst(const std::vector<ClassComparison>& comparisons) {
    const ClassComparison* worst = nullptr;
    for (const ClassComparison& comparison : comparisons) {
        if (comparison.outcome == ComparisonOutcome::acceptable)
            continue;
        if (worst == nullptr || is_worse_than(comparison, *worst))
            worst = &comparison;
    }
    return worst;
}

std::string describe(const ClassComparison& comparison) {
    std::array<char, max_reason_size> text{};
    std::snprintf(text.data(), text.size(),
                  "%s of %s: changed %.4f, unchanged %.4f, margin %.4f, p-value %.2g",
                  comparison.metric.c_str(), comparison.class_name.c_str(), comparison.canary_value,
                  comparison.baseline_value, comparison.tolerance, comparison.p_value);
    return text.data();
}

void set_verdict(CanaryAnalysis& analysis) {
    const ClassComparison* const worst = find_worst(analysis.comparisons);
    if (worst == nullptr) {
        analysis.verdict = CanaryVerdict::pass;
        return;
    }
    analysis.is_suspect = worst->outcome == ComparisonOutcome::suspect;
    analysis.verdict = analysis.is_suspect ? CanaryVerdict::inconclusive : CanaryVerdict::fail;
    analysis.reason = describe(*worst);
}

/// Returns the request classes in which both groups received requests.
std::set<std::string> find_comparable_classes(const CanaryAnalysis& analysis) {
    std::set<std::string> class_names;
    for (const auto& [class_name, metrics] : analysis.canary) {
        if (metrics.total() > 0.0 && metrics_of(analysis.baseline, class_name).total() > 0.0)
            class_names.insert(class_name);
    }
    return class_names;
}

}  // namespace

const char* to_string(CanaryVerdict verdict) {
    static constexpr std::array<const char*, 3> names{"go", "hold", "stop"};
    return names[static_cast<std::size_t>(verdict)];
}

CanaryAnalysis analyze_canary(const std::vector<ProcessMetrics>& canary,
                              const std::vector<ProcessMetrics>& baseline, const Tolerances& tolerances) {
    CanaryAnalysis analysis;
    analysis.canary = sum_windows(canary);
    analysis.baseline = sum_windows(baseline);
    analysis.reason = describe_missing_data(analysis, baseline.size(), tolerances);
    if (!analysis.reason.empty())
        return analysis;
    for (const std::string& class_name : find_comparable_classes(analysis)) {
        const ClassComparer comparer(class_name, canary, baseline, tolerances);
        const LatencyCounts& baseline_counts = metrics_of(analysis.baseline, class_name).latency_counts;
        compare_outcomes(comparer, tolerances, analysis.comparisons);
        compare_latencies(comparer, baseline_counts, tolerances, analysis.comparisons);
    }
    set_verdict(analysis);
    return analysis;
}

}  // namespace cressledge::rollout
