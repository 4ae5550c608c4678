// Limits retries and hedged requests to a fraction of the first attempts, so that they cannot multiply the load
// when all attempts fail ("Handling Overload", in: Site Reliability Engineering, 2016).
#pragma once

#include <cstdint>

namespace cressledge::retry {

/// Token bucket that first attempts fill and extra attempts (retries and hedged requests) empty.
///
/// Invariant: extra attempts <= first attempts * ratio + initial tokens.
class RetryBudget {
public:
    static constexpr double default_ratio = 0.1;
    static constexpr double default_initial_tokens = 5.0;
    static constexpr double default_max_tokens = 100.0;

    /// `ratio` is the number of tokens added per first attempt, from `routing.retries.share` of the operator's file.
    explicit RetryBudget(double ratio = default_ratio, double initial_tokens = default_initial_tokens,
                         double max_tokens = default_max_tokens)
        : ratio_(ratio), max_tokens_(max_tokens), tokens_(initial_tokens) {}

    /// Adds `ratio` tokens, up to `max_tokens`.
    void on_first_attempt() { tokens_ = tokens_ + ratio_ < max_tokens_ ? tokens_ + ratio_ : max_tokens_; }

    /// Takes a token for one retry or hedged request. Returns false if there is none.
    bool try_acquire() {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        ++extra_attempts_;
        return true;
    }

    /// Number of tokens taken so far.
    std::uint64_t extra_attempts() const { return extra_attempts_; }

    /// Replaces the ratio for later attempts; existing tokens are kept.
    void reconfigure(double ratio) { ratio_ = ratio; }

private:
    double ratio_;
    const double max_tokens_;
    double tokens_;
    std::uint64_t extra_attempts_ = 0;
};

}  // namespace cressledge::retry
