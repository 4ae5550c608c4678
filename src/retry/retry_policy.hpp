// Repeated attempts: whether there may be another, and when. No I/O.
//
// Invariant: extra tries (retries and hedges) <= first tries * share + start, whatever happens.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

#include "upstream_health/host_set.hpp"

namespace cressledge::retry {

using base::Duration;
using base::Timestamp;
using upstream_health::Random;

class RetryBudget {
public:
    explicit RetryBudget(double ratio = 0.1, double initial_tokens = 5.0, double max_tokens = 100.0)
        : ratio_(ratio), max_tokens_(max_tokens), tokens_(initial_tokens) {}
    void on_first_attempt() { tokens_ = tokens_ + ratio_ < max_tokens_ ? tokens_ + ratio_ : max_tokens_; }
    bool try_acquire() {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        ++extra_attempts_;
        return true;
    }
    std::uint64_t extra_attempts() const { return extra_attempts_; }
    void reconfigure(double ratio) { ratio_ = ratio; }  // what has been saved up stays

private:
    double ratio_;
    const double max_tokens_;
    double tokens_;
    std::uint64_t extra_attempts_ = 0;
};

struct RetrySettings {
    std::uint32_t max_attempts = 3;  // of one request, the first counted
    Duration base_backoff{25'000}, max_backoff{1'000'000};
    double attempt_time_fraction =
        0.5;  // of what is left of the request's time, for a try that another may follow
    double hedge_quantile = 0.95;  // quantile of good calls after which a second one goes out
    Duration min_hedge_delay{20'000};
};

// Full jitter: anywhere from now to the back-off of this try, doubled each time; Retry-After if that is longer.
Timestamp next_retry_time(Timestamp now, std::uint32_t attempts, Duration retry_after,
                          const RetrySettings& settings, Random& random);
// By when this try has to be through; the last one gets all that is left.
Timestamp attempt_deadline(Timestamp now, Timestamp request_deadline, std::uint32_t attempts,
                           const RetrySettings& settings);

class HedgePolicy {  // for one safe class: how long a call is out before another one is worth its cost
public:
    explicit HedgePolicy(const RetrySettings& settings)
        : settings_(settings),
          quantile_(boost::accumulators::quantile_probability = settings.hedge_quantile) {}
    void record(Duration latency) { quantile_(static_cast<double>(latency.count())), ++sample_count_; }
    Duration delay() const;  // Duration::max() until enough has been seen

private:
    using Quantile = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
    const RetrySettings settings_;
    Quantile quantile_;
    std::uint64_t sample_count_ = 0;
};

// Over all servers: when nearly everything fails, extra tries only feed the fire.
class CircuitBreaker {
public:
    void record(bool succeeded) { failure_rate_ += 0.02 * ((succeeded ? 0.0 : 1.0) - failure_rate_); }
    bool is_open() const { return failure_rate_ > 0.8; }
    double failure_rate() const { return failure_rate_; }

private:
    double failure_rate_ = 0.0;
};

}  // namespace cressledge::retry
