#include "learned_state/confidence_policy.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::learned_state {
namespace {

/// The number of observations at which the confidence reaches half of its limit.
constexpr double half_confidence_observations = 10.0;

}  // namespace

double ConfidencePolicy::confidence(Duration age, double evidence) const {
    if (age < -max_clock_skew || age > max_age)
        return 0.0;
    const double half_lives =
        std::max(0.0, static_cast<double>(age.count())) / static_cast<double>(half_life.count());
    const double observations = std::max(0.0, evidence);
    return std::exp2(-half_lives) * observations / (observations + half_confidence_observations);
}

}  // namespace cressledge::learned_state
