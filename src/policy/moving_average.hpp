// The exponentially weighted moving average with which the decision module smooths measurements.
//
// Invariant: with a gain from 0 to 1 the average stays between its previous value and the sample.
#pragma once

namespace cressledge::policy::aces {

/// Moves the average by the fraction `gain` (0 to 1) of its distance to `sample`.
inline void update_average(double& average, double sample, double gain) {
    average += gain * (sample - average);
}

}  // namespace cressledge::policy::aces
