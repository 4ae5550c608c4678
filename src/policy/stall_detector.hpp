// Finds a slowdown of the server before the prices show it. README.md has the reason for each tuned value.
//
// Invariants: delivered and completed work decay alike and are never negative; the slowdown is 1 or lies
// between the ratio that counts as one and the greatest that is believed.
#pragma once

namespace cressledge::policy::aces {

/// Compares the work delivered lately with the prices of what it completed, both in quanta (core seconds).
class StallDetector {
public:
    /// `cores` of the server scale the damping.
    explicit StallDetector(double cores) : cores_(cores) {}

    /// Lets the past fade over `seconds` that went by.
    void decay(double seconds);
    /// Counts quanta that runs were given.
    void add_delivered(double quanta) { delivered_quanta_ += quanta; }
    /// Counts the price of a run that completed, in quanta.
    void add_completed(double quanta) { completed_quanta_ += quanta; }
    /// Factor (at least 1) by which runs take longer now than their prices say.
    double slowdown() const;

private:
    double cores_;
    double delivered_quanta_ = 0.0;
    double completed_quanta_ = 0.0;
};

}  // namespace cressledge::policy::aces
