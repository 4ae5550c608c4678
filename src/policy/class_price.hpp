// The learned price of one request class. README.md explains each tuned value.
//
// Invariants: quanta and run seconds are positive if the initial price is; one completion counts for at most
// `max_outlier_prices` times the average; the relative speed lies in (0, 1].
#pragma once

namespace cressledge::policy::aces {

/// Learns the price of a run of one request class, in quanta (core seconds), and its latency, including
/// calls.
class ClassPrice {
public:
    /// `initial_seconds` is the initial estimate of both price and latency.
    explicit ClassPrice(double initial_seconds);

    /// Learns from a successful run: the quanta that it used and its latency in seconds.
    void learn(double used_quanta, double latency_seconds);

    /// Moves price and latency from the initial estimate towards the saved one by `confidence` (0 to 1, on a
    /// logarithmic scale). The count of completions stays 0, so a saved price is replaced as fast as an
    /// initial one.
    void restore(double saved_quanta, double saved_run_seconds, double confidence);

    /// Ratio (at most 1) of the cheapest price to the current one: the speed of the server for this class.
    double relative_speed() const;

    /// Mean quanta (core seconds) of a run.
    double quanta() const { return quanta_; }
    /// Mean latency of a run in seconds, including calls.
    double run_seconds() const { return run_seconds_; }
    /// Number of completions in the averages.
    double completions() const { return completions_; }

private:
    double quanta_;
    double cheapest_quanta_;
    double run_seconds_;
    double completions_ = 0.0;
};

}  // namespace cressledge::policy::aces
