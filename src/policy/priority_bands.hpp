// Groups similar priority weights into bands.
//
// Invariants: there is at least one band; the weight of each band exceeds that of the band below by more than
// the band width; the bands do not depend on the order of the classes in the settings.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Bands of the priority weights of the classes, for requests within and over the quota of their tenant.
class PriorityBands {
public:
    explicit PriorityBands(const Settings& settings);

    /// Number of bands.
    std::size_t size() const { return weights_.size(); }
    /// Lowest priority weight of the band.
    double weight(std::size_t band) const { return weights_[band]; }
    /// Band of a request with this priority weight.
    std::size_t band_of(double priority_weight) const;
    /// Whether the band is the highest.
    bool is_top(std::size_t band) const { return band + 1 == weights_.size(); }

private:
    std::vector<double> weights_;  // in ascending order
};

}  // namespace cressledge::policy::aces
