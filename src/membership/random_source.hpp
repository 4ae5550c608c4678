/// The random numbers of one membership table. Seeded, so that a run in the emulator can be repeated.
#pragma once

#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>

#include "membership/time.hpp"

namespace cressledge::membership {

/// PCG32 (O'Neill, 2014) with the draws that the protocol needs.
class RandomSource {
public:
    /// Tables with one seed and different streams draw independent numbers.
    RandomSource(std::uint64_t seed, std::uint64_t stream) : generator_(seed, stream) {}

    /// The next number of the stream.
    std::uint32_t next() { return generator_(); }

    /// Uniform in [0, bound); the bound is not zero.
    std::uint32_t uniform(std::size_t bound) { return generator_(static_cast<std::uint32_t>(bound)); }

    /// Uniform between zero and the duration.
    Duration jitter(Duration max) {
        constexpr double to_unit_interval = 0x1p-32;
        return Duration(
            static_cast<std::int64_t>(generator_() * to_unit_interval * static_cast<double>(max.count())));
    }

private:
    pcg32 generator_;
};

}  // namespace cressledge::membership
