// The priority bands of a server: near priority weights share a band.
//
// Invariants: there is one band at least; weights rise from band to band by more than the width of a band;
// equal classes share a band in whatever order the settings name them.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Bands by the priority weights of the classes, within their tenants' quotas and over them.
class PriorityBands {
public:
    explicit PriorityBands(const Settings& settings);

    /// Number of bands.
    std::size_t size() const { return weights_.size(); }
    /// The least priority weight of the band.
    double weight(std::size_t band) const { return weights_[band]; }
    /// The band of a request of this priority weight.
    std::size_t band_of(double priority_weight) const;
    /// Whether no band is higher.
    bool is_top(std::size_t band) const { return band + 1 == weights_.size(); }

private:
    std::vector<double> weights_;  // in rising order
};

}  // namespace cressledge::policy::aces
