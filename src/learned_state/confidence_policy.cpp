#include "learned_state/confidence_policy.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::learned_state {
namespace {

/// Observations that give half of the confidence that any number of them gives.
constexpr double half_confidence_evidence = 10.0;

}  // namespace

double ConfidencePolicy::confidence(Duration age, double evidence) const {
    if (age < -max_clock_skew || age > max_age)
        return 0.0;
    const double half_lives =
        std::max(0.0, static_cast<double>(age.count())) / static_cast<double>(half_life.count());
    const double observations = std::max(0.0, evidence);
    return std::exp2(-half_lives) * observations / (observations + half_confidence_evidence);
}

}  // namespace cressledge::learned_state
