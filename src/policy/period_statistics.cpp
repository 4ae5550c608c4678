#include "policy/period_statistics.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double pressure_gain = 0.5;  // per period
constexpr double top_band_gain = 0.4;  // per period
constexpr double min_capacity_quanta = 1e-3;

double fraction_of(double count, double total) {
    return total > 0 ? count / total : 0.0;
}

}  // namespace

void PeriodStatistics::record_rejection(bool in_top_band) {
    rejections_ += 1.0;
    top_band_rejections_ += in_top_band ? 1.0 : 0.0;
}

void PeriodStatistics::close_period(double demand_quanta, double capacity_quanta) {
    update_average(pressure_, demand_quanta / std::max(min_capacity_quanta, capacity_quanta), pressure_gain);
    rejected_fraction_ = fraction_of(rejections_, arrivals_);
    const double top_band_fraction = fraction_of(top_band_rejections_, top_band_arrivals_);
    update_average(top_band_rejected_fraction_, top_band_fraction, top_band_gain);
    arrivals_ = rejections_ = top_band_arrivals_ = top_band_rejections_ = 0.0;
}

}  // namespace cressledge::policy::aces
