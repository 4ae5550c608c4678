// Detects a slowdown of the server before the prices show it. README.md explains each tuned value.
//
// Invariants: delivered and completed work decay at the same rate and are never negative; the slowdown is 1
// or lies between the minimum and the maximum ratio.
#pragma once

namespace cressledge::policy::aces {

/// Compares the work recently delivered with the prices of the runs that it completed, both in quanta (core
/// seconds).
class StallDetector {
public:
    /// `cores` is the number of cores of the server; the damping is proportional to it.
    explicit StallDetector(double cores) : cores_(cores) {}

    /// Decays both sums over `seconds` of elapsed time.
    void decay(double seconds);
    /// Adds the quanta that runs received.
    void add_delivered(double quanta) { delivered_quanta_ += quanta; }
    /// Adds the price of a completed run, in quanta.
    void add_completed(double quanta) { completed_quanta_ += quanta; }
    /// Factor (at least 1) by which runs currently take longer than their prices predict.
    double slowdown() const;

private:
    double cores_;
    double delivered_quanta_ = 0.0;
    double completed_quanta_ = 0.0;
};

}  // namespace cressledge::policy::aces
