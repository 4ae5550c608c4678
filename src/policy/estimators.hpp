// What the controller learns of this server. An estimator decides nothing and knows no request. Quanta are
// core seconds. README.md has the reason for each tuned value.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

using std::clamp, std::max, std::min;

inline double to_seconds(Duration duration) {
    return static_cast<double>(duration.count()) * 1e-6;
}
inline Duration from_seconds(double seconds) {
    return Duration(std::llround(seconds * 1e6));
}
/// Moves an exponentially weighted mean by the fraction `gain` towards `sample`.
inline void blend(double& mean, double sample, double gain) {
    mean += gain * (sample - mean);
}

/// Price of a request class: quanta and latency of a run, the latter with its calls.
struct ClassPrice {
    static constexpr double min_gain = 0.05, max_outlier = 4.0, min_speed = 0.2;  // outlier: in prices
    static constexpr double warm_up = 20.0, base_drift = 1.002;  // completions; a lasting change is accepted
    explicit ClassPrice(double initial) : quanta(initial), cheapest(initial), run_seconds(initial) {}
    void learn(double used_quanta, double latency) {
        ++completions;
        const double gain = max(min_gain, 1.0 / (completions + 1.0));
        blend(quanta, min(used_quanta, max_outlier * quanta), gain);
        blend(run_seconds, min(latency, max_outlier * run_seconds), gain);
        cheapest = completions < warm_up ? quanta : min(quanta, cheapest * base_drift);
    }
    /// `completions` stays 0: a saved price is unlearned as soon as a first guess.
    void restore(double saved_quanta, double saved_seconds, double confidence) {
        quanta = cheapest = quanta * std::pow(saved_quanta / quanta, confidence);
        run_seconds *= std::pow(saved_seconds / run_seconds, confidence);
    }
    double relative_speed() const { return clamp(cheapest / max(quanta, 1e-9), min_speed, 1.0); }

    double quanta, cheapest, run_seconds, completions = 0.0;
};

/// Finds a slowdown before prices show it: work delivered lately over the prices of what it completed.
struct StallDetector {
    static constexpr double window_seconds = 1.5, damping_seconds = 0.5, min_ratio = 1.5, max_ratio = 10.0;
    void decay(double seconds) {
        const double factor = std::exp(-seconds / window_seconds);
        delivered *= factor;
        completed *= factor;
    }
    double slowdown(double cores) const {
        const double ratio = (delivered + damping_seconds * cores) / (completed + damping_seconds * cores);
        return ratio > min_ratio ? clamp(ratio, 1.0, max_ratio) : 1.0;
    }

    double delivered = 0.0, completed = 0.0;
};

/// Quanta completed per second while work was queued: c of the paper.
struct CapacityEstimator {
    static constexpr double gain = 0.15, min_busy_share = 0.5, min_per_core = 0.3;
    explicit CapacityEstimator(int core_count) : cores(core_count), quanta_per_second(core_count) {}
    void restore(double saved, double confidence) {
        quanta_per_second = bounded(quanta_per_second * std::pow(saved / quanta_per_second, confidence));
        restored = true;
    }
    void close_period(double period_seconds) {
        const bool measured = busy_seconds > min_busy_share * period_seconds;
        if (measured)
            blend(quanta_per_second, bounded(completed_quanta / busy_seconds), gain);
        else if (restored)  // guards against a restored one too low to ever queue work, and so to be measured
            blend(quanta_per_second, cores, gain);
        restored = restored && !measured;
        busy_seconds = completed_quanta = 0.0;
    }
    double bounded(double value) const { return clamp(value, min_per_core * cores, 1.0 * cores); }

    double cores, quanta_per_second, busy_seconds = 0.0, completed_quanta = 0.0;
    bool restored = false;  // and not measured yet
};

/// Demand of a band: last period's, moved by the paper's three-state chain of rise, same and fall.
struct DemandPredictor {
    static constexpr double step = 0.10, gain = 0.3, odds_decay = 0.95;
    void restore(double rate, const std::array<double, 3>& odds, double confidence) {
        const double total = max(1e-9, odds[0] + odds[1] + odds[2]);
        for (std::size_t i = 0; i < 3; ++i)
            blend(trend_odds[i], 3.0 * odds[i] / total, confidence);
        quanta_per_period = confidence * rate;
        restored = true;
    }
    void close_period() {
        const double previous = std::exchange(restored, false) ? 0.0 : quanta_per_period;
        quanta_per_period = previous > 0.0 ? previous + gain * (current_quanta - previous) : current_quanta;
        const double change = previous > 0.0 ? quanta_per_period / previous - 1.0 : 0.0;
        for (double& odds : trend_odds)
            odds *= odds_decay;
        trend_odds[change > step / 2 ? 0U : change < -step / 2 ? 2U : 1U] += 1.0;
        current_quanta = 0.0;
    }
    double predicted() const {
        const double total = trend_odds[0] + trend_odds[1] + trend_odds[2];
        return quanta_per_period * (1.0 + step * (trend_odds[0] - trend_odds[2]) / total);
    }

    double current_quanta = 0.0, quanta_per_period = 0.0;
    bool restored = false;
    std::array<double, 3> trend_odds{1.0, 1.0, 1.0};  // that it rises, stays, falls
};

/// Share of the runs that needs a core: runs may wait for a disk unannounced.
struct CpuShareEstimator {
    static constexpr double min_gain = 0.02, min_share = 0.25;
    void update(double runnable, double running) {
        const double gain = max(min_gain, 1.0 / ++samples);
        blend(mean_runnable, min(runnable, running), gain);
        blend(mean_running, running, gain);
        share = clamp(mean_runnable / mean_running, min_share, 1.0);
    }

    double share = 1.0, mean_runnable = 1.0, mean_running = 1.0, samples = 8.0;  // as if seen eight times
};

/// Finds that own runs fail, or that nothing moves though work is on the cores.
struct FailureDetector {
    static constexpr double degraded_share = 0.2, failing_share = 0.5, gain = 0.12, hang_run_times = 6.0;
    static constexpr Duration min_hang{800'000};
    void record_run(bool failed) {
        blend(failure_share, failed ? 1.0 : 0.0, gain);
        failing = failure_share > failing_share || (failing && failure_share >= degraded_share);
    }
    void record_progress(Timestamp now) {
        last_progress = now;
        hung = false;
    }
    void update(Timestamp now, double running, double run_seconds) {
        if (running < 1.0)
            last_progress = now;
        hung = now - last_progress > max(min_hang, from_seconds(hang_run_times * run_seconds));
    }
    bool degraded() const { return failure_share > degraded_share; }
    bool unhealthy() const { return failing || hung; }

    double failure_share = 0.0;
    bool failing = false, hung = false;
    Timestamp last_progress{0};
};

}  // namespace cressledge::policy::aces
