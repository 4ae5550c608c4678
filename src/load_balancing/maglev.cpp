#include "load_balancing/maglev.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "load_balancing/name_hash.hpp"

namespace cressledge::load_balancing {
namespace {

constexpr std::uint64_t offset_seed = 1;
constexpr std::uint64_t skip_seed = 2;

/// The order in which a host prefers the entries of the table.
struct Permutation {
    std::uint64_t position;
    std::uint64_t step;
};

std::vector<Permutation> permutations_of(const std::vector<std::string>& names, std::size_t size) {
    std::vector<Permutation> permutations;
    permutations.reserve(names.size());
    for (const std::string& name : names)
        permutations.push_back(
            {hash_name(name, offset_seed) % size, hash_name(name, skip_seed) % (size - 1) + 1});
    return permutations;
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
    std::vector<Permutation> permutations = permutations_of(names, size);
    // The hosts take turns; each takes the next free entry of its permutation.
    for (std::size_t filled = 0; filled < size;) {
        for (std::uint32_t i = 0; i < permutations.size() && filled < size; ++i) {
            Permutation& permutation = permutations[i];
            while (table_[permutation.position] != unset)
                permutation.position = (permutation.position + permutation.step) % size;
            table_[permutation.position] = i;
            ++filled;
        }
    }
}

std::uint32_t MaglevTable::find(std::uint64_t key, std::uint32_t choice) const {
    const std::uint64_t hash_input[2] = {key, choice};
    return table_[XXH3_64bits(hash_input, sizeof hash_input) % table_.size()];
}

}  // namespace cressledge::load_balancing
