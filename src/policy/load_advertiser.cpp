#include "policy/load_advertiser.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double min_rejected_fraction = 0.05;  // of the arrivals; fewer rejections are not an overload
constexpr double full_pressure = 1.05;  // demand over capacity
constexpr double overload_excess = 2.0;  // excess pressure that a fully overloaded intake counts as
constexpr double weight_gain = 0.5;  // per reading
constexpr double min_weight = 0.05;
constexpr double min_advertised = 0.02;  // weight or credit
constexpr double min_price_quanta = 1e-3;
constexpr double overload_level = 0.95;
constexpr double level_rise = 0.2;  // per reading
constexpr double level_fall = 0.08;  // per reading
constexpr double max_pressure_level = 0.4;

}  // namespace

LoadAdvertiser::LoadAdvertiser(LoadAdvertisement mode, int caller_count)
    : mode_(mode), caller_count_(caller_count) {}

std::optional<double> LoadAdvertiser::advertise(const LoadReading& reading) {
    const double excess =
        reading.rejected_fraction > min_rejected_fraction ? reading.pressure - full_pressure : 0.0;
    if (mode_ == LoadAdvertisement::weight)
        return next_weight(reading, excess);
    if (mode_ == LoadAdvertisement::level)
        return next_level(reading, excess);
    if (mode_ == LoadAdvertisement::credit)
        return credit(reading);
    return std::nullopt;
}

double LoadAdvertiser::next_weight(const LoadReading& reading, double excess) {
    const double overload = std::max(0.0, std::max(excess, overload_excess * reading.intake_overload));
    update_average(advertised_weight_, 1.0 / (1.0 + overload), weight_gain);
    return reading.unavailable ? min_advertised : std::max(min_weight, advertised_weight_);
}

double LoadAdvertiser::next_level(const LoadReading& reading, double excess) {
    const double rise = level_rise * excess / (1.0 + excess) * (1.0 - advertised_level_);
    const double level = advertised_level_ + (excess > 0.0 ? rise : -level_fall);
    advertised_level_ = std::clamp(level, 0.0, max_pressure_level);
    return reading.unavailable ? 1.0 : std::max(advertised_level_, overload_level * reading.intake_overload);
}

double LoadAdvertiser::credit(const LoadReading& reading) const {
    const double answerable_requests = reading.capacity_quanta_per_second * reading.min_objective_seconds /
                                       std::max(min_price_quanta, reading.mean_price_quanta);
    const double credit = answerable_requests / std::max(1, caller_count_) / std::max(1.0, reading.pressure);
    return reading.unavailable ? min_advertised : std::max(min_advertised, credit);
}

}  // namespace cressledge::policy::aces
