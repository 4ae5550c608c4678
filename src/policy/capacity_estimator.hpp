// The learned capacity of the server: c of the ACES paper. README.md has the reason for each tuned value.
//
// Invariants: a measured capacity lies between a share of the cores and all of them; it is measured only in
// periods for much of which work was queued.
#pragma once

namespace cressledge::policy::aces {

/// Quanta (core seconds of work) that the server completes a second while work is queued.
class CapacityEstimator {
public:
    explicit CapacityEstimator(int core_count);

    /// Moves the capacity by `confidence` (0 to 1) to what was saved, in quanta a second.
    void restore(double saved_quanta_per_second, double confidence);
    /// Counts seconds for which work was queued.
    void add_busy_seconds(double seconds) { busy_seconds_ += seconds; }
    /// Counts the quanta of a run that completed while work was queued.
    void add_completed(double quanta) { completed_quanta_ += quanta; }
    /// Takes in what was counted over a period of so many seconds.
    void close_period(double period_seconds);
    /// Quanta (core seconds) a second.
    double quanta_per_second() const { return quanta_per_second_; }

private:
    double bounded(double quanta_per_second) const;

    double cores_;
    double quanta_per_second_;
    double busy_seconds_ = 0.0;
    double completed_quanta_ = 0.0;
    bool is_restored_ = false;  // and not measured since
};

}  // namespace cressledge::policy::aces
