/// The tests behind the canary analysis. Pure functions of counts.
///
/// References: the exact conditional test of two Poisson rates (Przyborowski and Wilenski); the Mann-Whitney effect as a
/// probability; log odds with half an event added (Haldane; Anscombe); the variance between groups after DerSimonian and
/// Laird; shrinkage to the posterior mean of a normal prior.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "rollout/class_metrics.hpp"

namespace cressledge::rollout {

/// Events among a number of trials, such as errors among requests.
struct EventRate {
    double events = 0.0;
    double trials = 0.0;
};

/// One rate of one request class over a group of processes.
struct ProcessGroup {
    /// Of each process in the window that is analyzed, and, in the same order, before.
    std::vector<EventRate> window;
    std::vector<EventRate> prior;
    /// Sums over `window`.
    double events = 0.0;
    double trials = 0.0;

    /// Events for each trial; 0 without trials.
    double rate() const { return trials > 0.0 ? events / trials : 0.0; }
    /// Adds one process, unless it had no trials in the window.
    void add(const EventRate& in_window, const EventRate& before);
};

/// What the rates of a group are of.
enum class RateType : std::uint8_t {
    /// Events that happen or do not, and are few.
    events,
    /// Ranks of latencies, scaled to 0 to 1, which are many.
    ranks,
};

/// Probability of the canary's rate exceeding the baseline's by as much, if every trial had the same probability.
double pooled_p_value(const ProcessGroup& canary, const ProcessGroup& baseline, RateType type);

/// Probability of the canary's rate being as far above what was to be expected of each of its processes: by what the
/// process was before, by how the processes of the baseline differ, and by how the baseline has moved since.
double process_p_value(const ProcessGroup& canary, const ProcessGroup& baseline, RateType type);

/// P(x > y) + P(x = y) / 2 for latencies x and y drawn from the two histograms; latencies of one bucket are equal. It is
/// 0.5 where neither is slower, or where either is empty.
double mann_whitney_effect(const LatencyCounts& x, const LatencyCounts& y);

}  // namespace cressledge::rollout
