// When a hedged request is worth its cost ("The Tail at Scale", Dean and Barroso, 2013).
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

#include "retry/retry_settings.hpp"

namespace cressledge::retry {

/// Learns, for one request class that may run twice, how long an attempt usually takes. The quantile is estimated in
/// constant space (the P-square algorithm, Jain and Chlamtac, 1985).
class HedgePolicy {
public:
    /// `settings.hedge_quantile`: the quantile of the latency after which a second attempt is sent.
    explicit HedgePolicy(const RetrySettings& settings)
        : settings_(settings),
          quantile_(boost::accumulators::quantile_probability = settings.hedge_quantile) {}

    /// Takes the latency of a successful attempt.
    void record(Duration latency);

    /// How long an attempt is out before a second one is sent; `Duration::max()` until enough attempts are known.
    Duration delay() const;

private:
    using Quantile = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
    const RetrySettings settings_;
    Quantile quantile_;
    std::uint64_t sample_count_ = 0;
};

}  // namespace cressledge::retry
