// Bounds retries and hedged requests by the number of first attempts, so that they cannot multiply the load when
// everything fails ("Handling Overload", in: Site Reliability Engineering, 2016).
#pragma once

#include <cstdint>

namespace cressledge::retry {

/// A token bucket that first attempts fill and extra attempts empty.
///
/// Invariant: extra attempts <= first attempts * ratio + initial tokens.
class RetryBudget {
public:
    static constexpr double default_ratio = 0.1;
    static constexpr double default_initial_tokens = 5.0;
    static constexpr double default_max_tokens = 100.0;

    /// `ratio`: tokens earned by each first attempt; from `routing.retries.share` of an operator's file.
    explicit RetryBudget(double ratio = default_ratio, double initial_tokens = default_initial_tokens,
                         double max_tokens = default_max_tokens)
        : ratio_(ratio), max_tokens_(max_tokens), tokens_(initial_tokens) {}

    /// Earns `ratio` tokens, up to `max_tokens`.
    void on_first_attempt() { tokens_ = tokens_ + ratio_ < max_tokens_ ? tokens_ + ratio_ : max_tokens_; }

    /// Takes a token for one retry or hedged request; false if there is none.
    bool try_acquire() {
        if (tokens_ < 1.0)
            return false;
        tokens_ -= 1.0;
        ++extra_attempts_;
        return true;
    }

    /// Tokens taken since the start.
    std::uint64_t extra_attempts() const { return extra_attempts_; }

    /// Takes another ratio for the attempts to come; tokens saved up stay.
    void reconfigure(double ratio) { ratio_ = ratio; }

private:
    double ratio_;
    const double max_tokens_;
    double tokens_;
    std::uint64_t extra_attempts_ = 0;
};

}  // namespace cressledge::retry
