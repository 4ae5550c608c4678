// The hash of an address.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "connection_admission/ip_address.hpp"

namespace cressledge::connection_admission {

/// XXH3 with a secret seed: guards against clients that choose addresses with the same hash.
inline std::uint64_t hash_address(const IpAddress& address, std::uint64_t seed) {
    const std::uint64_t hash_input[2] = {address.high, address.low};
    return XXH3_64bits_withSeed(hash_input, sizeof hash_input, seed);
}

}  // namespace cressledge::connection_admission
