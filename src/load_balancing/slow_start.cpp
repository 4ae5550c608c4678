#include "load_balancing/slow_start.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "load_balancing/seconds.hpp"

namespace cressledge::load_balancing {
namespace {

/// Fraction of the window after which an unused call is no longer allowed.
constexpr double carry_over_fraction = 0.1;
/// Keeps the division by the warm-up time defined when it is 0.
constexpr double min_warm_up_s = 1e-6;
constexpr std::uint64_t rounding_offset_seed = 1;
/// Number of different 32-bit values.
constexpr double random_value_count = 4294967296.0;

}  // namespace

// Integral of the allowed fraction over time. The fraction grows linearly to 1 during the warm-up and stays 1 after it.
double SlowStartLimiter::full_rate_seconds(base::Duration since_announcement) const {
    const double warm_up_s = std::max(min_warm_up_s, to_seconds(settings_.warm_up_time));
    const double elapsed_s = std::max(0.0, to_seconds(since_announcement));
    const double warming_s = std::min(elapsed_s, warm_up_s);
    return settings_.initial_fraction * warming_s +
           (1.0 - settings_.initial_fraction) * warming_s * warming_s / (2.0 * warm_up_s) +
           (elapsed_s - warming_s);
}

double SlowStartLimiter::allowed_calls(base::Timestamp announced_at, base::Timestamp from,
                                       base::Timestamp to) const {
    const double full_rate_s = full_rate_seconds(to - announced_at) - full_rate_seconds(from - announced_at);
    return settings_.calls_per_s * std::max(0.0, full_rate_s);
}

void SlowStartLimiter::update_peers(base::Timestamp now, const std::vector<std::string>& names,
                                    const std::string& own_name) {
    for (const std::string& name : names)
        peer_last_seen_[name] = now;
    // A partitioned fleet must not forget the other half at once: each half would send all of the allowed calls.
    const base::Duration max_unseen_time = settings_.warm_up_time + settings_.window;
    std::erase_if(peer_last_seen_, [&](const auto& peer) { return peer.second + max_unseen_time < now; });
    const auto own_entry = peer_last_seen_.lower_bound(own_name);
    own_rank_ = static_cast<std::size_t>(std::distance(peer_last_seen_.begin(), own_entry));
}

void SlowStartLimiter::begin(upstream_health::HostId host_id, const upstream_health::HostSpec& spec,
                             base::Timestamp announced_at, upstream_health::Random& random) {
    if (slow_starts_.size() <= host_id)
        slow_starts_.resize(host_id + std::size_t{1});
    HostSlowStart& slow_start = slow_starts_[host_id];
    slow_start = {};
    slow_start.is_active = true;
    slow_start.announced_at = announced_at;
    slow_start.updated_at = announced_at;
    slow_start.weight = spec.weight;
    slow_start.credit = initial_credit(spec.name, random);
}

// The fraction of a call, from 0 to 1, with which this process's credit starts. Processes that know each other spread
// these fractions evenly, starting at an offset derived from the host name. The sum over all processes is then rounded
// once instead of once per process. A process without known peers draws its fraction at random.
double SlowStartLimiter::initial_credit(const std::string& host_name, upstream_health::Random& random) const {
    if (!knows_peers())
        return static_cast<double>(random()) / random_value_count;
    const std::uint64_t hash = XXH64(host_name.data(), host_name.size(), rounding_offset_seed);
    const double offset = static_cast<double>(hash >> 32U) / random_value_count;
    return std::fmod(offset + static_cast<double>(own_rank_) / process_count(), 1.0);
}

void SlowStartLimiter::finish(upstream_health::HostId host_id) {
    if (host_id < slow_starts_.size())
        slow_starts_[host_id].is_active = false;
}

bool SlowStartLimiter::is_running(upstream_health::HostId host_id, base::Timestamp announced_at) const {
    return host_id < slow_starts_.size() && slow_starts_[host_id].is_active &&
           slow_starts_[host_id].announced_at == announced_at;
}

double SlowStartLimiter::own_allowed_calls(const HostSlowStart& slow_start, base::Timestamp from,
                                           base::Timestamp to) const {
    return slow_start.weight * allowed_calls(slow_start.announced_at, from, to) / process_count();
}

SlowStartLimiter::HostSlowStart SlowStartLimiter::advanced_to(base::Timestamp now,
                                                              const HostSlowStart& slow_start) const {
    HostSlowStart advanced = slow_start;
    if (now <= slow_start.updated_at)
        return advanced;
    advanced.credit += own_allowed_calls(slow_start, slow_start.updated_at, now);
    advanced.updated_at = now;
    // Unused calls expire, so that many processes cannot save them up and send them in one burst.
    const double window_us = static_cast<double>(settings_.window.count());
    const base::Duration carry_over(std::llround(carry_over_fraction * window_us));
    const double recent_credit = own_allowed_calls(slow_start, now - carry_over, now);
    advanced.used_calls = std::max(advanced.used_calls, std::floor(advanced.credit - recent_credit));
    return advanced;
}

bool SlowStartLimiter::is_limited(upstream_health::HostId host_id) const {
    return is_enabled() && host_id < slow_starts_.size() && slow_starts_[host_id].is_active;
}

bool SlowStartLimiter::allows(base::Timestamp now, upstream_health::HostId host_id) const {
    if (!is_limited(host_id))
        return true;
    const HostSlowStart slow_start = advanced_to(now, slow_starts_[host_id]);
    return std::floor(slow_start.credit) - slow_start.used_calls >= 1.0;
}

void SlowStartLimiter::on_call_started(base::Timestamp now, upstream_health::HostId host_id) {
    if (!is_limited(host_id))
        return;
    slow_starts_[host_id] = advanced_to(now, slow_starts_[host_id]);
    slow_starts_[host_id].used_calls += 1.0;
}

}  // namespace cressledge::load_balancing
