// The learned capacity of the server (c in the ACES paper). README.md explains each tuned value.
//
// Invariants: a measured capacity lies between a fixed fraction of the cores and all cores; it is measured
// only in periods in which work was queued for at least a minimum fraction of the time.
#pragma once

namespace cressledge::policy::aces {

/// Estimates the quanta (core seconds of work) that the server completes per second while work is queued.
class CapacityEstimator {
public:
    explicit CapacityEstimator(int core_count);

    /// Moves the capacity towards the saved one, in quanta per second, by `confidence` (0 to 1, on a
    /// logarithmic scale).
    void restore(double saved_quanta_per_second, double confidence);
    /// Adds time, in seconds, during which work was queued.
    void add_busy_seconds(double seconds) { busy_seconds_ += seconds; }
    /// Adds the quanta of a run that completed while work was queued.
    void add_completed(double quanta) { completed_quanta_ += quanta; }
    /// Updates the capacity from the sums of a period of `period_seconds`, and resets these.
    void close_period(double period_seconds);
    /// Capacity in quanta (core seconds) per second.
    double quanta_per_second() const { return quanta_per_second_; }

private:
    double bounded(double quanta_per_second) const;

    double cores_;
    double quanta_per_second_;
    double busy_seconds_ = 0.0;
    double completed_quanta_ = 0.0;
    bool is_restored_ = false;  // restored and not measured since
};

}  // namespace cressledge::policy::aces
