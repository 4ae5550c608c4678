// Whether the changed processes do worse than the unchanged ones, over the same window and class by class, as automated
// canary analysis asks it. No I/O.
//
// Four figures of each class are compared: errors and refusals (of the requests), late answers (of the served) and times.
// Times by the Mann-Whitney effect, the chance that an answer of the changed is slower than one of the unchanged (0.5:
// neither), and by the share of answers above the unchanged ones' 99th percentile.
//
// Each is worse when three things hold: the difference is over its margin (what the operators would care about); it is more
// than the chance of so many requests explains, at `alpha` shared out among all comparisons of a roll (Bonferroni; exact,
// as events are few); and it is more than what makes processes differ explains, at `odd`. Machines, neighbours and callers make processes of one
// version differ for good, so each is held against what it was itself before its change, as far as that is known, and else
// against what the unchanged are: on the scale of log odds, where such differences lie evenly, with the variance between
// processes measured among the unchanged (DerSimonian and Laird) and shrunk by what each had shown before (the posterior of
// a normal mean), and moved by as much as the unchanged have moved meanwhile. Guards a good change on a noisy machine
// against being stopped for the machine's sake. What is worse but not so odd is suspect: more of the same window, or more
// processes, will tell.
#pragma once

#include <string>
#include <vector>

#include "rollout/class_metrics.hpp"

namespace cressledge::rollout {

struct Tolerances {
    double error_rate = 0.005, shed_rate = 0.01, late_rate = 0.01;  // shares, above those of the unchanged
    double slower_probability = 0.56;  // chance of being slower
    double tail_rate = 0.015;  // share above the unchanged ones' 99th percentile, beyond what theirs is
    double significance_level = 0.01;  // of a good change being stopped anywhere in a roll
    double max_worse_p_value = 0.0001,
           max_suspect_p_value = 0.1;  // chance, beyond what makes processes differ
    double planned_comparisons = 100.0;  // of a whole roll, among which alpha is shared out
    double min_requests = 150.0;  // requests of the changed processes in the window, for a verdict
    std::size_t min_baseline_processes = 3;  // unchanged, to compare with
};

struct ClassComparison {
    std::string class_name, metric;  // the class, and what is worse
    double canary_value = 0.0, baseline_value = 0.0, tolerance = 0.0, p_value = 1.0;
    bool is_worse = false, is_suspect = false;
};

enum class CanaryVerdict : std::uint8_t { pass, inconclusive, fail };
const char* to_string(CanaryVerdict verdict);

struct CanaryAnalysis {
    CanaryVerdict verdict = CanaryVerdict::inconclusive;
    std::string reason;  // of hold and stop
    bool is_suspect = false;  // hold, and would be go but for what is suspect
    std::vector<ClassComparison> comparisons;  // every comparison that could be made
    MetricsByClass canary, baseline;  // sums
};

struct ProcessMetrics {  // of one process
    MetricsByClass window;  // in the window that is judged
    MetricsByClass prior;  // its change, or before that window for one that is unchanged; empty: not known
};
CanaryAnalysis analyze_canary(const std::vector<ProcessMetrics>& canary,
                              const std::vector<ProcessMetrics>& baseline, const Tolerances& margins);

}  // namespace cressledge::rollout
