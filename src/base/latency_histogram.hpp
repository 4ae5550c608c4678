/// A latency histogram with buckets of a fixed ratio: each is 2^(1/4) times as wide as the one before, from 1 ms up, so
/// that any quantile is known to 19%. Counts of two processes, or of two moments of one, may be added and subtracted
/// bucket by bucket.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "base/clock.hpp"

namespace cressledge::base {

/// Counts latencies by bucket.
class LatencyHistogram {
public:
    /// Buckets reach to about 150 s; the last one has no upper bound.
    static constexpr std::size_t bucket_count = 70;

    /// The bucket that counts this latency. Bucket 0 holds everything below 1 ms.
    static std::size_t bucket_index(Duration latency) {
        const double ms = static_cast<double>(latency.count()) * 1e-3;
        if (ms < 1.0)
            return 0;
        return std::min(bucket_count - 1, 1 + static_cast<std::size_t>(buckets_per_doubling * std::log2(ms)));
    }

    /// The upper bound of a bucket in whole microseconds.
    static std::uint64_t bucket_upper_bound_us(std::size_t bucket) {
        const double ms = std::exp2(static_cast<double>(bucket) / buckets_per_doubling);
        return static_cast<std::uint64_t>(std::llround(1e3 * ms));
    }

    /// Counts one latency.
    void record(Duration latency) { ++counts_[bucket_index(latency)]; }

    /// How many latencies each bucket has counted.
    const std::array<std::uint64_t, bucket_count>& counts() const { return counts_; }

private:
    static constexpr double buckets_per_doubling = 4.0;

    std::array<std::uint64_t, bucket_count> counts_{};
};

}  // namespace cressledge::base
