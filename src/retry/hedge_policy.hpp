// Determines when a hedged request is sent ("The Tail at Scale", Dean and Barroso, 2013).
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

#include "retry/retry_settings.hpp"

namespace cressledge::retry {

/// Estimates a quantile of the attempt latency of one request class that may be hedged. It uses constant space
/// (P-square algorithm, Jain and Chlamtac, 1985).
class HedgePolicy {
public:
    /// `settings.hedge_quantile` is the latency quantile after which a second attempt is sent.
    explicit HedgePolicy(const RetrySettings& settings)
        : settings_(settings),
          quantile_(boost::accumulators::quantile_probability = settings.hedge_quantile) {}

    /// Records the latency of a successful attempt.
    void record(Duration latency);

    /// Time after the start of an attempt at which a second one is sent; `Duration::max()` until enough latencies have
    /// been recorded.
    Duration delay() const;

private:
    using Quantile = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
    const RetrySettings settings_;
    Quantile quantile_;
    std::uint64_t sample_count_ = 0;
};

}  // namespace cressledge::retry
