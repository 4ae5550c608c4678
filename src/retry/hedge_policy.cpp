#include "retry/hedge_policy.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::retry {
namespace {

/// Number of attempts before the quantile estimate is used.
constexpr std::uint64_t min_hedge_samples = 50;

}  // namespace

void HedgePolicy::record(Duration latency) {
    quantile_(static_cast<double>(latency.count()));
    ++sample_count_;
}

Duration HedgePolicy::delay() const {
    if (sample_count_ < min_hedge_samples)
        return Duration::max();
    const auto quantile_us = std::llround(boost::accumulators::p_square_quantile(quantile_));
    return std::max(settings_.min_hedge_delay, Duration(quantile_us));
}

}  // namespace cressledge::retry
