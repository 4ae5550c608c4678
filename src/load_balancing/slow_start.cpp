#include "load_balancing/slow_start.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace cressledge::load_balancing {
namespace {

constexpr double carry_over_fraction =
    0.1;  // of a window: how long a call that nobody asked for stays allowed
double seconds(base::Duration s) {
    return static_cast<double>(s.count()) * 1e-6;
}

}  // namespace

double SlowStartLimiter::allowed_calls(base::Timestamp announced_at, base::Timestamp from,
                                       base::Timestamp to) const {
    const double warm = std::max(1e-6, seconds(settings_.warm_up_time));
    const auto until =
        [&](base::Timestamp t) {  // the integral of a line from `from` to 1, and of 1 behind it
            const double s = std::max(0.0, seconds(t - announced_at)), cold = std::min(s, warm);
            return settings_.initial_fraction * cold +
                   (1.0 - settings_.initial_fraction) * cold * cold / (2.0 * warm) + (s - cold);
        };
    return settings_.calls_per_s * std::max(0.0, until(to) - until(from));
}

void SlowStartLimiter::update_peers(base::Timestamp now, const std::vector<std::string>& names,
                                    const std::string& self) {
    for (const std::string& name : names)
        peer_last_seen_[name] = now;
    // Guards against two halves of a fleet that do not hear each other, and would each take all of the calls.
    std::erase_if(peer_last_seen_,
                  [&](const auto& s) { return s.second + settings_.warm_up_time + settings_.window < now; });
    own_rank_ =
        static_cast<std::size_t>(std::distance(peer_last_seen_.begin(), peer_last_seen_.lower_bound(self)));
}

void SlowStartLimiter::begin(upstream_health::HostId host_id, const upstream_health::HostSpec& spec,
                             base::Timestamp announced_at, upstream_health::Random& random) {
    if (ramps_.size() <= host_id)
        ramps_.resize(host_id + std::size_t{1});
    HostRamp& s = ramps_[host_id];
    s = {};
    s.is_active = true;
    s.announced_at = s.updated_at = announced_at;
    s.weight = spec.weight;
    // The remainder. Where all know of each other, their parts of the rounding lie evenly between 0 and 1, from a point
    // drawn by the server's name: the sum is then rounded once, not once for each. Otherwise each draws his own.
    constexpr double whole = 4294967296.0;
    if (knows_peers()) {
        const auto draw = static_cast<double>(XXH64(spec.name.data(), spec.name.size(), 1) >> 32U) / whole;
        s.credit = std::fmod(draw + static_cast<double>(own_rank_) / process_count(), 1.0);
    } else {
        s.credit = static_cast<double>(random()) / whole;
    }
}

void SlowStartLimiter::finish(upstream_health::HostId host_id) {
    if (host_id < ramps_.size())
        ramps_[host_id].is_active = false;
}

bool SlowStartLimiter::is_running(upstream_health::HostId host_id, base::Timestamp announced_at) const {
    return host_id < ramps_.size() && ramps_[host_id].is_active &&
           ramps_[host_id].announced_at == announced_at;
}

double SlowStartLimiter::own_share(const HostRamp& s, base::Timestamp from, base::Timestamp to) const {
    return s.weight * allowed_calls(s.announced_at, from, to) / process_count();
}

SlowStartLimiter::HostRamp SlowStartLimiter::advanced_to(base::Timestamp now, const HostRamp& s) const {
    HostRamp c = s;
    if (now <= s.updated_at)
        return c;
    c.credit += own_share(s, s.updated_at, now);
    c.updated_at = now;
    // What nobody asked for in time is lost: guards against a burst of what many have saved up.
    const base::Timestamp old =
        now -
        base::Duration(std::llround(carry_over_fraction * static_cast<double>(settings_.window.count())));
    c.used_calls = std::max(c.used_calls, std::floor(c.credit - own_share(s, old, now)));
    return c;
}

bool SlowStartLimiter::allows(base::Timestamp now, upstream_health::HostId host_id) const {
    if (!is_enabled() || host_id >= ramps_.size() || !ramps_[host_id].is_active)
        return true;
    const HostRamp c = advanced_to(now, ramps_[host_id]);
    return std::floor(c.credit) - c.used_calls >= 1.0;
}

void SlowStartLimiter::on_call_started(base::Timestamp now, upstream_health::HostId host_id) {
    if (!is_enabled() || host_id >= ramps_.size() || !ramps_[host_id].is_active)
        return;
    ramps_[host_id] = advanced_to(now, ramps_[host_id]);
    ramps_[host_id].used_calls += 1.0;
}

}  // namespace cressledge::load_balancing
