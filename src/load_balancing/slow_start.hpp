// The slow-start ramp of a cold server, held by the fleet and not by each process alone: a server falls under the sum of
// what all processes send. Each process gives itself its share of the calls that the server is allowed since it was
// announced. No I/O; time, randomness and what is known of the fleet are arguments.
//
// Invariants, over any span of `window` in which N calls are allowed, of P processes that know of each other:
// - the sum of what they send is at most N, one for the rounding, and a tenth of a window's that nobody had asked for in time
// - who is lost sight of is counted for as long as a ramp lasts: he may be cut off and go on sending
// - a process that knows of nobody else counts `peers`, and draws its part of the rounding by itself
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "upstream_health/host_set.hpp"

namespace cressledge::load_balancing {

struct SlowStartSettings {
    double calls_per_s =
        0.0;  // that a warm server of weight 1 is allowed, from all processes together; 0: no bound
    double initial_fraction = 0.2;  // of it, at the announcement
    base::Duration warm_up_time{10'000'000};  // then it is allowed all of it
    base::Duration window{2'000'000};  // over which a server feels the sum
    double assumed_processes = 32.0;  // processes that send, where this one knows of no other
};

class SlowStartLimiter {
public:
    explicit SlowStartLimiter(SlowStartSettings settings = {}) : settings_(settings) {}
    void reconfigure(SlowStartSettings settings) { settings_ = settings; }
    bool is_enabled() const { return settings_.calls_per_s > 0.0; }

    // The live processes by name, this one among them as `self`.
    void update_peers(base::Timestamp now, const std::vector<std::string>& names, const std::string& self);
    // A server's ramp begins, or has begun before this process knew of it.
    void begin(upstream_health::HostId host_id, const upstream_health::HostSpec& spec,
               base::Timestamp announced_at, upstream_health::Random& random);
    void finish(upstream_health::HostId host_id);
    bool is_running(upstream_health::HostId host_id, base::Timestamp announced_at) const;
    bool allows(base::Timestamp now, upstream_health::HostId host_id) const;  // a call more
    void on_call_started(base::Timestamp now, upstream_health::HostId host_id);
    // By all processes, to a server of weight 1: N.
    double allowed_calls(base::Timestamp announced_at, base::Timestamp from, base::Timestamp to) const;
    double process_count() const {
        return knows_peers() ? static_cast<double>(peer_last_seen_.size())
                             : std::max(settings_.assumed_processes, 1.0);
    }

private:
    struct HostRamp {
        bool is_active = false;
        base::Timestamp announced_at{0}, updated_at{0};
        double weight = 1.0;
        double credit = 0.0;  // this process's share up to `at`, with its part of the rounding
        double used_calls = 0.0;
    };
    bool knows_peers() const { return peer_last_seen_.size() > 1; }
    HostRamp advanced_to(base::Timestamp now, const HostRamp& s) const;
    double own_share(const HostRamp& s, base::Timestamp from, base::Timestamp to) const;

    SlowStartSettings settings_;
    std::map<std::string, base::Timestamp> peer_last_seen_;  // of each sharer, when it was last known to live
    std::size_t own_rank_ = 0;  // of this one among them, in an order that all agree on
    std::vector<HostRamp> ramps_;
};

}  // namespace cressledge::load_balancing
