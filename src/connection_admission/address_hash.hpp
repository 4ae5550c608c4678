// The hash of an address: xxhash with a seed, so that nobody can choose addresses that fall together.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "connection_admission/ip_address.hpp"

namespace cressledge::connection_admission {

inline std::uint64_t hash_address(const IpAddress& ip, std::uint64_t seed) {
    const std::uint64_t words[2] = {ip.high, ip.low};
    return XXH3_64bits_withSeed(words, sizeof words, seed);
}

}  // namespace cressledge::connection_admission
