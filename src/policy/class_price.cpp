#include "policy/class_price.hpp"

#include <algorithm>
#include <cmath>

#include "policy/moving_average.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double min_gain = 0.05;  // per completion
constexpr double max_outlier_prices = 4.0;  // multiples of the average
constexpr double warm_up_completions = 20.0;
constexpr double base_drift = 1.002;  // per completion; lets the base accept a lasting change
constexpr double min_speed = 0.2;
constexpr double min_quanta = 1e-9;

}  // namespace

ClassPrice::ClassPrice(double initial_seconds)
    : quanta_(initial_seconds), cheapest_quanta_(initial_seconds), run_seconds_(initial_seconds) {}

void ClassPrice::learn(double used_quanta, double latency_seconds) {
    ++completions_;
    const double gain = std::max(min_gain, 1.0 / (completions_ + 1.0));
    update_average(quanta_, std::min(used_quanta, max_outlier_prices * quanta_), gain);
    update_average(run_seconds_, std::min(latency_seconds, max_outlier_prices * run_seconds_), gain);
    const bool is_warm = completions_ >= warm_up_completions;
    cheapest_quanta_ = is_warm ? std::min(quanta_, cheapest_quanta_ * base_drift) : quanta_;
}

void ClassPrice::restore(double saved_quanta, double saved_run_seconds, double confidence) {
    quanta_ = cheapest_quanta_ = quanta_ * std::pow(saved_quanta / quanta_, confidence);
    run_seconds_ *= std::pow(saved_run_seconds / run_seconds_, confidence);
}

double ClassPrice::relative_speed() const {
    return std::clamp(cheapest_quanta_ / std::max(quanta_, min_quanta), min_speed, 1.0);
}

}  // namespace cressledge::policy::aces
