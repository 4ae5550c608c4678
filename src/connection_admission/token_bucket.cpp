#include "connection_admission/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::connection_admission {
namespace {

constexpr double microseconds_per_second = 1e6;
constexpr double seconds_per_microsecond = 1e-6;

}  // namespace

void TokenBucket::refill(Timestamp now, const SourceLimits& limits) {
    // Guards against a clock that is set back: without this nothing would be refilled until it has caught up.
    const Duration elapsed = std::max(Duration(0), now - last_refill_);
    last_refill_ = now;
    const double due =
        static_cast<double>(elapsed.count()) * seconds_per_microsecond * limits.connections_per_second;
    tokens_ = std::min(limits.connection_burst, tokens_ + due);
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
