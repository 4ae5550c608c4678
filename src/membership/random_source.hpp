/// Random number source of one membership table. Seeded, so that emulator runs are reproducible.
#pragma once

#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>

#include "membership/time.hpp"

namespace cressledge::membership {

/// PCG32 generator (O'Neill, 2014) with the distributions that the protocol uses.
class RandomSource {
public:
    /// Sources with the same seed and different streams are independent.
    RandomSource(std::uint64_t seed, std::uint64_t stream) : generator_(seed, stream) {}

    /// Returns the next number of the stream.
    std::uint32_t next() { return generator_(); }

    /// Returns a number uniform in [0, bound). `bound` must not be zero.
    std::uint32_t uniform(std::size_t bound) { return generator_(static_cast<std::uint32_t>(bound)); }

    /// Returns a duration uniform in [0, max).
    Duration jitter(Duration max) {
        constexpr double to_unit_interval = 0x1p-32;
        return Duration(
            static_cast<std::int64_t>(generator_() * to_unit_interval * static_cast<double>(max.count())));
    }

private:
    pcg32 generator_;
};

}  // namespace cressledge::membership
