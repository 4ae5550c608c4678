// How long answers took, in bins of a fixed ratio: each is 2^(1/4) times as wide as the one before, from 1 ms up, so that
// any quantile is known to 19%. Bins of two processes, or of two moments of one, may be added and subtracted.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::base {

class LatencyHistogram {
public:
    static constexpr std::size_t bucket_count = 70;  // up to about 150 s; the last one has no upper end
    static std::size_t bucket_index(Duration latency) {
        const double ms = static_cast<double>(latency.count()) * 1e-3;
        return ms < 1.0 ? 0 : std::min(bucket_count - 1, 1 + static_cast<std::size_t>(4.0 * std::log2(ms)));
    }
    // The upper end of a bin, in whole microseconds.
    static std::uint64_t bucket_upper_bound_us(std::size_t bucket) {
        return static_cast<std::uint64_t>(std::llround(1e3 * std::exp2(static_cast<double>(bucket) / 4.0)));
    }
    void record(Duration latency) { ++counts_[bucket_index(latency)]; }
    const std::array<std::uint64_t, bucket_count>& counts() const { return counts_; }

private:
    std::array<std::uint64_t, bucket_count> counts_{};
};

}  // namespace cressledge::base
