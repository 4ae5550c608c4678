// Name hashes that are the same in every process of a fleet.
#pragma once

#include <cstdint>
#include <string_view>

namespace cressledge::load_balancing {

/// 64-bit XXH3 hash of a name. Each purpose uses its own seed.
std::uint64_t hash_name(std::string_view name, std::uint64_t seed);

}  // namespace cressledge::load_balancing
