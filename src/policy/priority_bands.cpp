#include "policy/priority_bands.hpp"

#include <algorithm>

namespace cressledge::policy::aces {
namespace {

constexpr double band_width = 1.25;  // ratio of priority weights
constexpr double default_weight = 1.0;  // weight of the only band if there are no classes

std::vector<double> sorted_weights(const Settings& settings) {
    std::vector<double> weights;
    for (const RequestClass& request_class : settings.classes) {
        weights.push_back(request_class.priority_weight);
        if (!settings.tenants.empty())
            weights.push_back(request_class.priority_weight * settings.over_quota_weight);
    }
    std::sort(weights.begin(), weights.end());
    return weights;
}

}  // namespace

PriorityBands::PriorityBands(const Settings& settings) {
    for (const double weight : sorted_weights(settings))
        if (weights_.empty() || weight > band_width * weights_.back())
            weights_.push_back(weight);
    if (weights_.empty())
        weights_.push_back(default_weight);
}

std::size_t PriorityBands::band_of(double priority_weight) const {
    const auto above = std::upper_bound(weights_.begin(), weights_.end(), priority_weight);
    const std::ptrdiff_t bands_not_above = above - weights_.begin();
    return static_cast<std::size_t>(std::max(bands_not_above, std::ptrdiff_t{1}) - 1);
}

}  // namespace cressledge::policy::aces
