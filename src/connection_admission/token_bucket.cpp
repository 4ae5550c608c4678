#include "connection_admission/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::connection_admission {
namespace {

constexpr double microseconds_per_second = 1e6;
constexpr double seconds_per_microsecond = 1e-6;

}  // namespace

void TokenBucket::refill(Timestamp now, const SourceLimits& limits) {
    // If the clock is set back, refilling continues from the new time. Without the lower bound of 0, no token
    // would be added until the clock had caught up.
    const Duration elapsed = std::max(Duration(0), now - last_refill_);
    last_refill_ = now;
    const double added_tokens =
        static_cast<double>(elapsed.count()) * seconds_per_microsecond * limits.connections_per_second;
    tokens_ = std::min(limits.connection_burst, tokens_ + added_tokens);
}

bool TokenBucket::try_acquire(Timestamp now, const SourceLimits& limits, Duration& wait) {
    if (limits.connections_per_second <= 0.0)
        return true;
    refill(now, limits);
    if (tokens_ >= 1.0) {
        tokens_ -= 1.0;
        return true;
    }
    wait = Duration(std::llround((1.0 - tokens_) / limits.connections_per_second * microseconds_per_second));
    return false;
}

void TokenBucket::reset(Timestamp now, double tokens) {
    last_refill_ = now;
    tokens_ = tokens;
}

}  // namespace cressledge::connection_admission
