// Weighted random sampling by the alias method (Vose, "A linear algorithm for generating random numbers with a given
// distribution", 1991). O(1) per draw, O(n) to build.
#pragma once

#include <cstdint>
#include <vector>

#include "upstream_health/host.hpp"

namespace cressledge::load_balancing {

/// Draws indices with probabilities in proportion to their weights. Load probes are sampled by weight, so that the load
/// offered to each host follows its capacity.
class WeightedSampler {
public:
    /// Builds the sampler. Each weight must be above 0.
    void build(const std::vector<double>& weights);
    /// Draws one index. The sampler must not be empty.
    std::uint32_t sample(upstream_health::Random& random) const;
    /// Fills `sampled` with up to `count` different indices. It gets fewer if the sampler has fewer, or if eight
    /// draws per wanted index do not suffice.
    void sample(upstream_health::Random& random, unsigned count, std::vector<std::uint32_t>& sampled) const;
    /// Whether the sampler has not been built, or was built from no weights.
    bool empty() const { return acceptance_.empty(); }

private:
    /// By index: the probability that a draw of it is kept, and the index that replaces it otherwise.
    std::vector<double> acceptance_;
    std::vector<std::uint32_t> alias_;
};

}  // namespace cressledge::load_balancing
