#include "load_balancing/name_hash.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cressledge::load_balancing {

std::uint64_t hash_name(std::string_view name, std::uint64_t seed) {
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

}  // namespace cressledge::load_balancing
