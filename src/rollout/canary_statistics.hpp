/// The statistical tests of the canary analysis, as pure functions of counts.
///
/// References: the exact conditional test of two Poisson rates (Przyborowski and Wilenski); the Mann-Whitney effect
/// as a probability; log odds with half an event added (Haldane; Anscombe); the variance between groups after
/// DerSimonian and Laird; shrinkage to the posterior mean of a normal prior.
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
    /// Rates of each process in the analyzed window and, in the same order, before it.
    std::vector<EventRate> window;
    std::vector<EventRate> prior;
    /// Sums over `window`.
    double events = 0.0;
    double trials = 0.0;

    /// Events per trial; 0 without trials.
    double rate() const { return trials > 0.0 ? events / trials : 0.0; }
    /// Adds one process. A process without trials in the window is skipped.
    void add(const EventRate& window_rate, const EventRate& prior_rate);
};

/// What the rates of a group count.
enum class RateType : std::uint8_t {
    /// Rare events that each trial has or has not, such as errors.
    events,
    /// Ranks of latencies, scaled to 0 to 1; every trial has one.
    ranks,
};

/// Returns the probability that the canary's rate exceeds the baseline's by at least the observed difference if all
/// trials have the same event probability.
double pooled_p_value(const ProcessGroup& canary, const ProcessGroup& baseline, RateType type);

/// Returns the probability that the canary's rate exceeds the rate expected of its processes by at least the
/// observed difference. The expectation is based on the earlier rate of each process, the variance between baseline
/// processes and the change of the baseline since.
double process_p_value(const ProcessGroup& canary, const ProcessGroup& baseline, RateType type);

/// Returns P(x > y) + P(x = y) / 2 for latencies x and y drawn from the two histograms. Latencies in the same bucket
/// count as equal. The result is 0.5 if neither is slower or either histogram is empty.
double mann_whitney_effect(const LatencyCounts& x, const LatencyCounts& y);

}  // namespace cressledge::rollout
