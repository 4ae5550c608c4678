#include "policy/period_statistics.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double pressure_gain = 0.5;  // share a period
constexpr double top_band_gain = 0.4;  // share a period
constexpr double min_capacity_quanta = 1e-3;

double share_of(double part, double total) {
    return total > 0 ? part / total : 0.0;
}

}  // namespace

void PeriodStatistics::record_rejection(bool in_top_band) {
    rejections_ += 1.0;
    top_band_rejections_ += in_top_band ? 1.0 : 0.0;
}

void PeriodStatistics::close_period(double demand_quanta, double capacity_quanta) {
    update_average(pressure_, demand_quanta / std::max(min_capacity_quanta, capacity_quanta), pressure_gain);
    rejected_share_ = share_of(rejections_, arrivals_);
    const double top_band_share = share_of(top_band_rejections_, top_band_arrivals_);
    update_average(top_band_rejected_share_, top_band_share, top_band_gain);
    arrivals_ = rejections_ = top_band_arrivals_ = top_band_rejections_ = 0.0;
}

}  // namespace cressledge::policy::aces
