// Ends retries and hedged requests while nearly every call fails, whichever host it goes to: they would only add load.
#pragma once

namespace cressledge::retry {

/// Smooths the failure rate over the calls to all hosts. First attempts pass also while it is open.
class CircuitBreaker {
public:
    /// Takes the outcome of a call to any host.
    void record(bool succeeded) {
        failure_rate_ += smoothing_factor * ((succeeded ? 0.0 : 1.0) - failure_rate_);
    }
    /// Whether the smoothed failure rate is above 0.8: retries and hedged requests stop.
    bool is_open() const { return failure_rate_ > max_failure_rate; }
    /// Exponentially weighted, 0 to 1.
    double failure_rate() const { return failure_rate_; }

private:
    /// Weight of the newest call.
    static constexpr double smoothing_factor = 0.02;
    static constexpr double max_failure_rate = 0.8;

    double failure_rate_ = 0.0;
};

}  // namespace cressledge::retry
