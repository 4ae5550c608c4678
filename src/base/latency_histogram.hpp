/// A latency histogram with exponential buckets: from 1 ms up, each bound is 2^(1/4) times the previous one, so that
/// quantiles have an error of at most 19%. Counts of different processes or times can be added and subtracted bucket by
/// bucket.
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
    /// The buckets cover latencies up to about 150 s; the last one has no upper bound.
    static constexpr std::size_t bucket_count = 70;

    /// The index of the bucket for this latency. Bucket 0 holds all latencies below 1 ms.
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

    /// The number of latencies recorded in each bucket.
    const std::array<std::uint64_t, bucket_count>& counts() const { return counts_; }

private:
    static constexpr double buckets_per_doubling = 4.0;

    std::array<std::uint64_t, bucket_count> counts_{};
};

}  // namespace cressledge::base
