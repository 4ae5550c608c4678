// The rate limit of new connections of one source.
#pragma once

#include "connection_admission/settings.hpp"

namespace cressledge::connection_admission {

/// A token bucket for new connections: `connections_per_second` on average, `connection_burst` at once.
///
/// The limits are arguments of each call because a new configuration may change them.
class TokenBucket {
public:
    /// Takes one token. Returns false if there is none; `wait` is then the time until there is one.
    /// Without a configured rate every call succeeds.
    bool try_acquire(Timestamp now, const SourceLimits& limits, Duration& wait);

    /// Adds the tokens that have become due since the last refill.
    void refill(Timestamp now, const SourceLimits& limits);

    /// Starts again at `now` with this number of tokens.
    void reset(Timestamp now, double tokens);

    /// Tokens as of the last refill.
    double tokens() const { return tokens_; }

private:
    double tokens_ = 0.0;
    Timestamp last_refill_{0};
};

}  // namespace cressledge::connection_admission
