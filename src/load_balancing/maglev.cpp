#include "load_balancing/maglev.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace cressledge::load_balancing {
namespace {

std::uint64_t hash(const std::string& s, std::uint64_t seed) {
    return XXH3_64bits_withSeed(s.data(), s.size(), seed);
}

}  // namespace

std::uint64_t affinity_key(std::string_view text) {
    return text.empty() ? 0 : std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

void MaglevTable::build(const std::vector<std::string>& names, std::size_t size) {
    table_.clear();
    if (names.empty())
        return;
    constexpr std::uint32_t unset = ~std::uint32_t{0};
    table_.assign(size, unset);
    struct Permutation {
        std::uint64_t position, step;
    };
    std::vector<Permutation> permutations;
    for (const std::string& n : names)
        permutations.push_back({hash(n, 1) % size, hash(n, 2) % (size - 1) + 1});
    // Each in turn takes the next free place of its own permutation.
    for (std::size_t filled = 0; filled < size;) {
        for (std::uint32_t i = 0; i < permutations.size() && filled < size; ++i) {
            Permutation& w = permutations[i];
            while (table_[w.position] != unset)
                w.position = (w.position + w.step) % size;
            table_[w.position] = i;
            ++filled;
        }
    }
}

std::uint32_t MaglevTable::find(std::uint64_t key, std::uint32_t choice) const {
    const std::uint64_t words[2] = {key, choice};
    return table_[XXH3_64bits(words, sizeof words) % table_.size()];
}

std::vector<std::uint32_t> rendezvous_subset(const std::string& node, const std::vector<std::string>& names,
                                             std::size_t size) {
    std::vector<std::uint32_t> all(names.size());
    std::iota(all.begin(), all.end(), 0U);
    if (size == 0 || size >= names.size())
        return all;
    const std::uint64_t seed = hash(node, 3);
    std::vector<std::uint64_t> rank;
    for (const std::string& n : names)
        rank.push_back(hash(n, seed));
    std::nth_element(
        all.begin(), all.begin() + static_cast<std::ptrdiff_t>(size), all.end(),
        [&](auto a, auto b) { return rank[a] != rank[b] ? rank[a] > rank[b] : names[a] < names[b]; });
    all.resize(size);
    std::sort(all.begin(), all.end());
    return all;
}

}  // namespace cressledge::load_balancing
