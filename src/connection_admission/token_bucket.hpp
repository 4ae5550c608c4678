// Rate limit of the new connections of one source.
#pragma once

#include "connection_admission/settings.hpp"

namespace cressledge::connection_admission {

/// A token bucket for new connections. Its rate is SourceLimits::connections_per_second and its capacity is
/// SourceLimits::connection_burst.
///
/// The limits are passed to each call because a reconfiguration may change them.
class TokenBucket {
public:
    /// Takes one token. If there is none, returns false and sets `wait` to the time until one is available.
    /// Always succeeds if no rate is configured.
    bool try_acquire(Timestamp now, const SourceLimits& limits, Duration& wait);

    /// Adds the tokens for the time since the last refill.
    void refill(Timestamp now, const SourceLimits& limits);

    /// Sets the number of tokens and the time of the last refill.
    void reset(Timestamp now, double tokens);

    /// Number of tokens; it does not include the time since the last refill.
    double tokens() const { return tokens_; }

private:
    double tokens_ = 0.0;
    Timestamp last_refill_{0};
};

}  // namespace cressledge::connection_admission
