// Counts arrivals and rejections per period and computes the pressure on the server.
//
// Invariant: the fractions lie in 0 to 1, provided that each rejected request was counted as an arrival
// before.
#pragma once

namespace cressledge::policy::aces {

/// Counts of the current period and statistics of the closed ones.
class PeriodStatistics {
public:
    /// Counts an arrival of any band.
    void record_arrival() { arrivals_ += 1.0; }
    /// Counts an arrival of the top band that is not a joined repeat.
    void record_top_band_arrival() { top_band_arrivals_ += 1.0; }
    /// Counts a rejection.
    void record_rejection(bool in_top_band);
    /// Closes a period in which arrivals asked for `demand_quanta` and the server could serve
    /// `capacity_quanta`.
    void close_period(double demand_quanta, double capacity_quanta);
    /// Ratio of demand to capacity, smoothed over periods.
    double pressure() const { return pressure_; }
    /// Fraction of the arrivals of the last closed period that were rejected.
    double rejected_fraction() const { return rejected_fraction_; }
    /// Fraction of the arrivals of the top band that were rejected, smoothed over periods.
    double top_band_rejected_fraction() const { return top_band_rejected_fraction_; }

private:
    double arrivals_ = 0.0;
    double rejections_ = 0.0;
    double top_band_arrivals_ = 0.0;
    double top_band_rejections_ = 0.0;
    double pressure_ = 0.0;
    double rejected_fraction_ = 0.0;
    double top_band_rejected_fraction_ = 0.0;
};

}  // namespace cressledge::policy::aces
