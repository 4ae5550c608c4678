// The learned price of one request class. README.md has the reason for each tuned value.
//
// Invariants: quanta and run seconds are positive where the initial price is; one completion moves either
// average by no more than its gain of `max_outlier` prices; the relative speed lies within (0, 1].
#pragma once

namespace cressledge::policy::aces {

/// Price of a run of one request class, in quanta (core seconds), and its latency, calls included.
class ClassPrice {
public:
    /// `initial_seconds` is the first guess of both price and latency.
    explicit ClassPrice(double initial_seconds);

    /// Takes in a run that succeeded: the quanta that it used, and its latency in seconds.
    void learn(double used_quanta, double latency_seconds);

    /// Moves price and latency by `confidence` (0 to 1) from the first guess to what was saved. The count of
    /// completions stays 0: a saved price is unlearned as soon as a first guess.
    void restore(double saved_quanta, double saved_run_seconds, double confidence);

    /// Cheapest price over the present one (ratio, at most 1): how fast the server is by this class.
    double relative_speed() const;

    /// Quanta (core seconds) of a run.
    double quanta() const { return quanta_; }
    /// Seconds of a run, calls included.
    double run_seconds() const { return run_seconds_; }
    /// Completions behind the averages.
    double completions() const { return completions_; }

private:
    double quanta_;
    double cheapest_quanta_;
    double run_seconds_;
    double completions_ = 0.0;
};

}  // namespace cressledge::policy::aces
