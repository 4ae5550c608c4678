// Stops retries and hedged requests while most calls fail on every host, because they would only add load.
#pragma once

namespace cressledge::retry {

/// Circuit breaker on the smoothed failure rate of the calls to all hosts. First attempts are allowed even while it is
/// open.
class CircuitBreaker {
public:
    /// Records the outcome of a call to any host.
    void record(bool succeeded) {
        failure_rate_ += smoothing_factor * ((succeeded ? 0.0 : 1.0) - failure_rate_);
    }
    /// Whether retries and hedged requests are stopped: the smoothed failure rate is above 0.8.
    bool is_open() const { return failure_rate_ > max_failure_rate; }
    /// Exponentially weighted failure rate, 0 to 1.
    double failure_rate() const { return failure_rate_; }

private:
    /// Weight of the newest call in the failure rate.
    static constexpr double smoothing_factor = 0.02;
    static constexpr double max_failure_rate = 0.8;

    double failure_rate_ = 0.0;
};

}  // namespace cressledge::retry
