// Fleet-wide slow start: limits the calls that all processes together send to a host that warms up, because it is their
// sum that overloads the host. Each process allows itself an equal share of the calls allowed since the host was
// announced. No I/O; time, randomness and the peers are passed as arguments.
//
// Invariants, over any span of `window` in which N calls are allowed, if the processes know each other:
// - all processes together send at most N calls, plus one for rounding, plus the calls that a tenth of a window
//   allows and that were not used in time;
// - a process that is no longer seen is counted for another warm-up time and window: it may be partitioned and
//   still send calls;
// - a process without known peers counts `assumed_processes` processes and draws its rounding offset at random.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "upstream_health/host_set.hpp"

namespace cressledge::load_balancing {

/// Limit of calls to hosts that warm up, from `routing.slow_start` of the operator's file.
struct SlowStartSettings {
    /// Calls per second that all processes together may send to a warm host of weight 1; 0 for no limit.
    double calls_per_s = 0.0;
    /// Fraction of that rate allowed at the announcement; it grows linearly to 1 over the warm-up time.
    double initial_fraction = 0.2;
    base::Duration warm_up_time{10'000'000};
    /// The limit holds for the calls within any span of this length.
    base::Duration window{2'000'000};
    /// Number of processes that a process without known peers counts, itself included.
    double assumed_processes = 32.0;
};

/// Limits this process to its share of the calls to each host in slow start.
class SlowStartLimiter {
public:
    /// The default settings set no limit.
    explicit SlowStartLimiter(SlowStartSettings settings = {}) : settings_(settings) {}

    /// Replaces the settings from the next call on; slow starts in progress continue.
    void reconfigure(SlowStartSettings settings) { settings_ = settings; }
    /// Whether calls are limited: `calls_per_s` is above 0.
    bool is_enabled() const { return settings_.calls_per_s > 0.0; }

    /// Sets the names of the live processes of the fleet, including this one (`own_name`). Call it regularly: it renews
    /// the time at which each process was last seen.
    void update_peers(base::Timestamp now, const std::vector<std::string>& names,
                      const std::string& own_name);

    /// Begins the slow start of a host as of `announced_at`, which may be in the past.
    void begin(upstream_health::HostId host_id, const upstream_health::HostSpec& spec,
               base::Timestamp announced_at, upstream_health::Random& random);
    /// Ends the slow start of a host that is warm or has been removed.
    void finish(upstream_health::HostId host_id);
    /// Whether the slow start that began at `announced_at` is in progress.
    bool is_running(upstream_health::HostId host_id, base::Timestamp announced_at) const;

    /// Whether this process may send one more call to the host; true for a host that is not in slow start.
    bool allows(base::Timestamp now, upstream_health::HostId host_id) const;
    /// Records a call sent to the host at `now`.
    void on_call_started(base::Timestamp now, upstream_health::HostId host_id);

    /// Number of calls that all processes together may send to a host of weight 1 between `from` and `to`.
    double allowed_calls(base::Timestamp announced_at, base::Timestamp from, base::Timestamp to) const;
    /// Number of processes among which the calls are divided.
    double process_count() const {
        return knows_peers() ? static_cast<double>(peer_last_seen_.size())
                             : std::max(settings_.assumed_processes, 1.0);
    }

private:
    /// The slow start of one host, as of `updated_at`.
    struct HostSlowStart {
        bool is_active = false;
        base::Timestamp announced_at{0};
        base::Timestamp updated_at{0};
        double weight = 1.0;
        /// Calls allowed to this process since the announcement, including its initial credit for rounding.
        double credit = 0.0;
        /// Calls that were sent, or expired unused.
        double used_calls = 0.0;
    };

    bool knows_peers() const { return peer_last_seen_.size() > 1; }
    bool is_limited(upstream_health::HostId host_id) const;
    double initial_credit(const std::string& host_name, upstream_health::Random& random) const;
    /// Seconds at the full rate in which as many calls are allowed as in the time since the announcement.
    double full_rate_seconds(base::Duration since_announcement) const;
    HostSlowStart advanced_to(base::Timestamp now, const HostSlowStart& slow_start) const;
    double own_allowed_calls(const HostSlowStart& slow_start, base::Timestamp from, base::Timestamp to) const;

    SlowStartSettings settings_;
    /// Time at which each process was last reported live, by name.
    std::map<std::string, base::Timestamp> peer_last_seen_;
    /// Rank of this process among them by name, an order that all processes agree on.
    std::size_t own_rank_ = 0;
    /// Indexed by host id.
    std::vector<HostSlowStart> slow_starts_;
};

}  // namespace cressledge::load_balancing
