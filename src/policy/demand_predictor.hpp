// Predicts the demand of one priority band as in the ACES paper. README.md explains each tuned value.
//
// Invariants: demand is never negative; the odds of the three trends stay positive.
#pragma once

#include <array>

namespace cressledge::policy::aces {

/// Predicts the demand of a band in quanta (core seconds) per period: the smoothed demand of past periods,
/// adjusted by the paper's three-state chain (rising, steady, falling).
class DemandPredictor {
public:
    /// Moves demand and odds towards the saved ones by `confidence` (0 to 1).
    void restore(double saved_quanta_per_period, const std::array<double, 3>& saved_odds, double confidence);
    /// Adds the price of an arrived request, in quanta.
    void add_demand(double quanta) { current_quanta_ += quanta; }
    /// Updates the prediction with the demand of the period that ends.
    void close_period();
    /// Quanta predicted for the current period.
    double predicted_quanta() const;
    /// Quanta that arrived in the current period so far.
    double current_quanta() const { return current_quanta_; }
    /// Smoothed demand in quanta per period.
    double quanta_per_period() const { return quanta_per_period_; }
    /// Odds that the demand rises, stays the same, or falls.
    const std::array<double, 3>& trend_odds() const { return trend_odds_; }

private:
    double current_quanta_ = 0.0;
    double quanta_per_period_ = 0.0;
    bool is_restored_ = false;  // restored, and no period closed since
    std::array<double, 3> trend_odds_{1.0, 1.0, 1.0};
};

}  // namespace cressledge::policy::aces
