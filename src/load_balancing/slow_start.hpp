// Slow start of a host that warms up, held by the fleet and not by each process alone: what overloads a host is the sum
// of what all processes send. Each process gives itself its share of the calls that the host is allowed since it was
// announced. No I/O; time, randomness and what is known of the fleet are arguments.
//
// Invariants, over any span of `window` in which N calls are allowed, where the processes know of each other:
// - the sum of what they send is at most N, one call for the rounding, and what a tenth of a window allows and was not
//   used in time;
// - a process that is lost sight of is counted for as long as a slow start lasts: it may be cut off and go on sending;
// - a process that knows of no other counts `assumed_processes`, and draws its part of the rounding by itself.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "upstream_health/host_set.hpp"

namespace cressledge::load_balancing {

/// The bound on calls to hosts that warm up; read from `routing.slow_start` of an operator's file.
struct SlowStartSettings {
    /// Calls a second that a warm host of weight 1 is allowed, from all processes together; 0: no bound.
    double calls_per_s = 0.0;
    /// Fraction of it at the announcement; it grows in a straight line to 1 over the warm-up time.
    double initial_fraction = 0.2;
    base::Duration warm_up_time{10'000'000};
    /// The bound holds for the calls within any such span.
    base::Duration window{2'000'000};
    /// Processes counted where this one knows of no other.
    double assumed_processes = 32.0;
};

/// This process's share of the calls to each host that warms up.
class SlowStartLimiter {
public:
    /// `settings`: the default has no bound.
    explicit SlowStartLimiter(SlowStartSettings settings = {}) : settings_(settings) {}

    /// Takes effect with the next call; slow starts under way go on.
    void reconfigure(SlowStartSettings settings) { settings_ = settings; }
    /// Whether there is a bound: `calls_per_s` above 0.
    bool is_enabled() const { return settings_.calls_per_s > 0.0; }

    /// The live processes of the fleet by name, this one among them as `self`; to be told again regularly.
    void update_peers(base::Timestamp now, const std::vector<std::string>& names, const std::string& self);

    /// A host's slow start begins, or has begun before this process knew of it.
    void begin(upstream_health::HostId host_id, const upstream_health::HostSpec& spec,
               base::Timestamp announced_at, upstream_health::Random& random);
    /// The host's slow start is over, or it has gone.
    void finish(upstream_health::HostId host_id);
    /// Whether the slow start that was announced then is under way.
    bool is_running(upstream_health::HostId host_id, base::Timestamp announced_at) const;

    /// Whether this process may send the host one more call; true for a host without slow start.
    bool allows(base::Timestamp now, upstream_health::HostId host_id) const;
    /// Counts a call sent to the host at `now`.
    void on_call_started(base::Timestamp now, upstream_health::HostId host_id);

    /// Calls that all processes together may send to a host of weight 1 in the span.
    double allowed_calls(base::Timestamp announced_at, base::Timestamp from, base::Timestamp to) const;
    /// Processes among which the calls are shared out.
    double process_count() const {
        return has_peers() ? static_cast<double>(peer_last_seen_.size())
                           : std::max(settings_.assumed_processes, 1.0);
    }

private:
    /// The slow start of one host, as of `updated_at`.
    struct HostSlowStart {
        bool is_active = false;
        base::Timestamp announced_at{0};
        base::Timestamp updated_at{0};
        double weight = 1.0;
        /// Calls that this process was allowed since the announcement, with its part of the rounding.
        double credit = 0.0;
        /// Calls sent, or no longer allowed because they were not sent in time.
        double used_calls = 0.0;
    };

    bool has_peers() const { return peer_last_seen_.size() > 1; }
    bool is_limited(upstream_health::HostId host_id) const;
    double initial_credit(const std::string& host_name, upstream_health::Random& random) const;
    double warm_seconds(base::Duration since_announcement) const;
    HostSlowStart advanced_to(base::Timestamp now, const HostSlowStart& slow_start) const;
    double own_allowance(const HostSlowStart& slow_start, base::Timestamp from, base::Timestamp to) const;

    SlowStartSettings settings_;
    /// When each process was last known to live.
    std::map<std::string, base::Timestamp> peer_last_seen_;
    /// Place of this process among them, in an order that all agree on.
    std::size_t own_rank_ = 0;
    /// By host id.
    std::vector<HostSlowStart> slow_starts_;
};

}  // namespace cressledge::load_balancing
