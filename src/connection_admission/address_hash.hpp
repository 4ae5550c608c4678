// Keyed hash of an IP address.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "connection_admission/ip_address.hpp"

namespace cressledge::connection_admission {

/// XXH3 of the address. With a secret `seed`, clients cannot choose addresses whose hashes collide.
inline std::uint64_t hash_address(const IpAddress& address, std::uint64_t seed) {
    const std::uint64_t hash_input[2] = {address.high, address.low};
    return XXH3_64bits_withSeed(hash_input, sizeof hash_input, seed);
}

}  // namespace cressledge::connection_admission
