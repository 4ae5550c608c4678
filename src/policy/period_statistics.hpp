// Arrivals and rejections by period, and the pressure on the server. README.md has the reason for each
// value.
//
// Invariant: the shares lie within 0 to 1 where each rejected request was counted as an arrival before.
#pragma once

namespace cressledge::policy::aces {

/// Counts of the present period, and figures of those that are closed.
class PeriodStatistics {
public:
    void record_arrival() { arrivals_ += 1.0; }
    /// An arrival of the top band that repeats no other.
    void record_top_band_arrival() { top_band_arrivals_ += 1.0; }
    void record_rejection(bool in_top_band);
    /// Closes a period in which so many quanta were asked for and could be served.
    void close_period(double demand_quanta, double capacity_quanta);
    /// Demand over capacity (ratio), smoothed.
    double pressure() const { return pressure_; }
    /// Share of the arrivals of the last closed period that were rejected.
    double rejected_share() const { return rejected_share_; }
    /// Share of the arrivals of the top band that were rejected, smoothed.
    double top_band_rejected_share() const { return top_band_rejected_share_; }

private:
    double arrivals_ = 0.0;
    double rejections_ = 0.0;
    double top_band_arrivals_ = 0.0;
    double top_band_rejections_ = 0.0;
    double pressure_ = 0.0;
    double rejected_share_ = 0.0;
    double top_band_rejected_share_ = 0.0;
};

}  // namespace cressledge::policy::aces
