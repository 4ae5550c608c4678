#include "load_balancing/weighted_sampler.hpp"

#include <algorithm>
#include <numeric>

namespace cressledge::load_balancing {
namespace {

/// Samplers of up to this size track the drawn indices in a 64-bit bitmap.
constexpr std::size_t max_bitmap_size = 64;
/// Bounds the draws that are repeated because they gave an index already drawn.
constexpr unsigned max_draws_per_sample = 8;

}  // namespace

void WeightedSampler::build(const std::vector<double>& weights) {
    const std::size_t size = weights.size();
    acceptance_.assign(size, 1.0);
    alias_.resize(size);
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    // Weights divided by their mean: entries below 1 are filled up from entries above 1.
    std::vector<double> scaled(size);
    std::vector<std::uint32_t> small_indices;
    std::vector<std::uint32_t> large_indices;
    for (std::size_t i = 0; i < size; ++i) {
        scaled[i] = weights[i] * static_cast<double>(size) / sum;
        alias_[i] = static_cast<std::uint32_t>(i);
        (scaled[i] < 1.0 ? small_indices : large_indices).push_back(static_cast<std::uint32_t>(i));
    }
    while (!small_indices.empty() && !large_indices.empty()) {
        const std::uint32_t small_index = small_indices.back();
        const std::uint32_t large_index = large_indices.back();
        small_indices.pop_back();
        acceptance_[small_index] = scaled[small_index];
        alias_[small_index] = large_index;
        scaled[large_index] -= 1.0 - scaled[small_index];
        if (scaled[large_index] < 1.0) {
            large_indices.pop_back();
            small_indices.push_back(large_index);
        }
    }
}

std::uint32_t WeightedSampler::sample(upstream_health::Random& random) const {
    // One random number serves both draws: the integer part of its product with the size is the index, the fraction is
    // compared with the acceptance probability.
    const std::uint64_t product = std::uint64_t{random()} * acceptance_.size();
    const auto index = static_cast<std::uint32_t>(product >> 32U);
    const double fraction = static_cast<double>(static_cast<std::uint32_t>(product)) * 0x1p-32;
    return fraction < acceptance_[index] ? index : alias_[index];
}

void WeightedSampler::sample(upstream_health::Random& random, unsigned count,
                             std::vector<std::uint32_t>& sampled) const {
    sampled.clear();
    const std::size_t sample_count = std::min<std::size_t>(count, acceptance_.size());
    const bool use_bitmap = acceptance_.size() <= max_bitmap_size;
    std::uint64_t drawn_bitmap = 0;
    for (unsigned draws = 0; sampled.size() < sample_count && draws < max_draws_per_sample * count; ++draws) {
        const std::uint32_t index = sample(random);
        const bool is_drawn = use_bitmap ? (drawn_bitmap >> index & 1U) != 0
                                         : std::find(sampled.begin(), sampled.end(), index) != sampled.end();
        if (is_drawn)
            continue;
        if (use_bitmap)
            drawn_bitmap |= std::uint64_t{1} << index;
        sampled.push_back(index);
    }
}

}  // namespace cressledge::load_balancing
