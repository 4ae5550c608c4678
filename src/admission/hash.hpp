// The hash of an address: xxhash with a seed, so that nobody can choose addresses that fall together.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "admission/address.hpp"

namespace cressledge::admission {

inline std::uint64_t hash(const Ip& ip, std::uint64_t seed) {
    const std::uint64_t words[2] = {ip.high, ip.low};
    return XXH3_64bits_withSeed(words, sizeof words, seed);
}

}  // namespace cressledge::admission
