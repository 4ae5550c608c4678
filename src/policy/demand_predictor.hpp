// The predicted demand of one priority band, after the ACES paper. README.md has the reason for each value.
//
// Invariants: demand is never negative; the odds of the three trends stay positive.
#pragma once

#include <array>

namespace cressledge::policy::aces {

/// Demand of a band in quanta (core seconds) a period: that of the last periods, moved by the paper's
/// three-state chain of rise, same and fall.
class DemandPredictor {
public:
    /// Moves rate and odds by `confidence` (0 to 1) to what was saved.
    void restore(double saved_quanta_per_period, const std::array<double, 3>& saved_odds, double confidence);
    /// Counts the price of a request that arrived, in quanta.
    void add_demand(double quanta) { current_quanta_ += quanta; }
    /// Takes in the demand of the period that ends.
    void close_period();
    /// Quanta expected in the period that begins.
    double predicted_quanta() const;
    /// Quanta that arrived in the present period.
    double current_quanta() const { return current_quanta_; }
    /// Smoothed quanta a period.
    double quanta_per_period() const { return quanta_per_period_; }
    /// Weights of the trends: that demand rises, stays, falls.
    const std::array<double, 3>& trend_odds() const { return trend_odds_; }

private:
    double current_quanta_ = 0.0;
    double quanta_per_period_ = 0.0;
    bool is_restored_ = false;  // and no period closed since
    std::array<double, 3> trend_odds_{1.0, 1.0, 1.0};
};

}  // namespace cressledge::policy::aces
