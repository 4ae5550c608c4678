// Random choice in proportion to weights: the alias method (Vose, "A linear algorithm for generating random numbers
// with a given distribution", 1991). O(1) a sample, O(n) to build.
#pragma once

#include <cstdint>
#include <vector>

#include "upstream_health/host.hpp"

namespace cressledge::load_balancing {

/// Draws indices in proportion to their weights. Load probes go out by capacity, so that what each host is offered
/// keeps in step with what it can do.
class WeightedSampler {
public:
    /// Each weight is above 0.
    void build(const std::vector<double>& weights);
    /// One index; the sampler must not be empty.
    std::uint32_t sample(upstream_health::Random& random) const;
    /// Up to `count` different indices, into `sampled`; fewer where there are fewer, or where eight draws for each
    /// wanted one have not found enough.
    void sample(upstream_health::Random& random, unsigned count, std::vector<std::uint32_t>& sampled) const;
    /// Whether it was built from no weights, or not built.
    bool empty() const { return acceptance_.empty(); }

private:
    /// Of each index: the probability that a draw of it stands, and the index that it gives otherwise.
    std::vector<double> acceptance_;
    std::vector<std::uint32_t> alias_;
};

}  // namespace cressledge::load_balancing
