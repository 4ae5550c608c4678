#include "policy/demand_predictor.hpp"

#include <algorithm>
#include <utility>

#include "policy/moving_average.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double trend_step = 0.10;  // relative change of demand in a rising or falling period
constexpr double gain = 0.3;  // per period
constexpr double odds_decay = 0.95;  // per period
constexpr double min_total_odds = 1e-9;
constexpr std::size_t trend_count = 3;
constexpr std::size_t rising = 0;
constexpr std::size_t steady = 1;
constexpr std::size_t falling = 2;

std::size_t trend_of(double relative_change) {
    if (relative_change > trend_step / 2)
        return rising;
    return relative_change < -trend_step / 2 ? falling : steady;
}

}  // namespace

void DemandPredictor::restore(double saved_quanta_per_period, const std::array<double, 3>& saved_odds,
                              double confidence) {
    const double total =
        std::max(min_total_odds, saved_odds[rising] + saved_odds[steady] + saved_odds[falling]);
    for (std::size_t trend = 0; trend < trend_count; ++trend)
        update_average(trend_odds_[trend], 3.0 * saved_odds[trend] / total, confidence);
    quanta_per_period_ = confidence * saved_quanta_per_period;
    is_restored_ = true;
}

void DemandPredictor::close_period() {
    const double previous = std::exchange(is_restored_, false) ? 0.0 : quanta_per_period_;
    quanta_per_period_ = previous > 0.0 ? previous + gain * (current_quanta_ - previous) : current_quanta_;
    const double change = previous > 0.0 ? quanta_per_period_ / previous - 1.0 : 0.0;
    for (double& odds : trend_odds_)
        odds *= odds_decay;
    trend_odds_[trend_of(change)] += 1.0;
    current_quanta_ = 0.0;
}

double DemandPredictor::predicted_quanta() const {
    const double total = trend_odds_[rising] + trend_odds_[steady] + trend_odds_[falling];
    return quanta_per_period_ * (1.0 + trend_step * (trend_odds_[rising] - trend_odds_[falling]) / total);
}

}  // namespace cressledge::policy::aces
