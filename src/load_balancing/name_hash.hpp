// Hashes of names that every process of a fleet computes alike.
#pragma once

#include <cstdint>
#include <string_view>

namespace cressledge::load_balancing {

/// XXH3, 64 bits. One seed for each purpose.
std::uint64_t hash_name(std::string_view name, std::uint64_t seed);

}  // namespace cressledge::load_balancing
