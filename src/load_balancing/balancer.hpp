// Chooses the host of each call. `HostSet` determines which hosts are usable; the upstream executor makes the calls and
// the load probes. No I/O; time and randomness are passed as arguments.
//
// Invariants: pick() returns no host that is unusable, has been tried for the same request or has reached its limit of
// calls in flight. Under every policy, a host in slow start gets no more calls than this process's share.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "load_balancing/balancer_settings.hpp"
#include "load_balancing/candidate_set.hpp"
#include "load_balancing/load_probes.hpp"
#include "load_balancing/maglev.hpp"
#include "load_balancing/peak_latency.hpp"
#include "load_balancing/slow_start.hpp"
#include "load_balancing/subset.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::load_balancing {

using upstream_health::HostSet;

/// Chooses the host of each call to an upstream among the candidates of this process, by the policy in
/// `BalancerSettings`.
class Balancer {
public:
    /// `hosts` must outlive the balancer.
    Balancer(HostSet& hosts, BalancerSettings settings)
        : hosts_(hosts),
          settings_(std::move(settings)),
          probe_pool_(settings_.probing, 0),
          slow_start_(settings_.slow_start) {}

    /// Recomputes the candidates. Call it after each change of the inventory or of a host's state.
    void refresh();
    /// Replaces the settings from the next pick on. Latencies and load reports of hosts are kept.
    void reconfigure(BalancerSettings settings);

    /// Returns the host for a call, or `no_host` if none is eligible. Hosts in `tried_hosts` are excluded; a
    /// deprioritized host is returned only if no other is eligible. `key` is the affinity key of the request, 0 for
    /// none.
    HostId pick(Timestamp now, std::uint64_t key, const std::vector<HostId>& tried_hosts, Random& random);

    /// Records that a call to the host has been sent.
    void on_call_started(Timestamp now, HostId host_id);
    /// Records the result of a call. Call it before `HostSet::on_call_finished`.
    void on_call_finished(Timestamp now, HostId host_id, upstream_health::CallResult result,
                          Duration latency);
    /// Records that a call was cancelled. Call it before `HostSet::on_call_cancelled`.
    void on_call_cancelled(Timestamp now, HostId host_id, Duration elapsed);

    /// Returns the load report with its capacity reduced during slow start, or none if the host must not be chosen by
    /// its load report.
    std::optional<LoadReport> effective_load(Timestamp now, HostId host_id, LoadReport load) const;
    /// Records a load report that came with an answer or a load probe.
    void on_load_report(Timestamp now, HostId host_id, const LoadReport& load);
    /// Fills `targets` with the hosts to probe for one more call: a random sample by weight, empty under a policy that
    /// sends no load probes.
    void pick_probe_targets(Random& random, std::vector<HostId>& targets);

    /// Sets the names of the live processes of the fleet, including this one; empty if unknown. Subsets and the
    /// calls to hosts in slow start are divided among them. Call it regularly, also without a change: it renews the
    /// time at which each process was last seen.
    void update_peers(Timestamp now, std::vector<std::string> names);

    /// Prefers other hosts to this one until `until`.
    void deprioritize(HostId host_id, Timestamp until);
    /// Whether the host is deprioritized at `now`.
    bool is_deprioritized(Timestamp now, HostId host_id) const {
        return host_loads_[host_id].deprioritized_until > now;
    }

    /// Cost of one more call to the host: expected latency (seconds) times calls in flight, including this one,
    /// divided by weight times traffic fraction.
    double cost(Timestamp now, HostId host_id) const;
    /// Hosts that this process uses at present.
    const std::vector<HostId>& candidates() const { return candidates_.usable(); }
    /// Whether the policy is `probe_first`: each call waits for its own load probes.
    bool probes_before_call() const { return settings_.policy == BalancingPolicy::probe_first; }

private:
    /// The load of a host, estimated from this process's own calls.
    struct HostLoad {
        PeakLatency latency;
        Timestamp deprioritized_until{0};
        double round_robin_credit = 0.0;
    };
    enum class Deprioritized : std::uint8_t { exclude, include };
    /// The arguments of a pick.
    struct PickCriteria {
        Timestamp now;
        std::uint64_t key;
        const std::vector<HostId>& tried_hosts;
        Deprioritized deprioritized;
    };

    HostId pick_by_policy(const PickCriteria& criteria, Random& random);
    HostId pick_least_in_flight(const PickCriteria& criteria);
    HostId pick_round_robin(const PickCriteria& criteria);
    HostId pick_by_key(const PickCriteria& criteria);
    HostId pick_from_probe_pool(const PickCriteria& criteria);
    HostId pick_power_of_two(const PickCriteria& criteria, const std::vector<HostId>& hosts,
                             Random& random) const;
    HostId pick_cheapest(const PickCriteria& criteria, const std::vector<HostId>& hosts,
                         std::size_t start) const;
    bool is_eligible(const PickCriteria& criteria, HostId host_id) const;

    std::vector<HostId> select_subset(const std::vector<HostId>& active_hosts);
    std::vector<std::string> names_of(const std::vector<HostId>& hosts) const;
    void rebuild_maglev();
    void rebuild_probe_sampler();
    void update_slow_starts(Random& random);
    void release_call(Timestamp now, HostId host_id, Duration elapsed);
    bool sends_load_probes() const {
        return settings_.policy == BalancingPolicy::probe_pool || probes_before_call();
    }

    HostSet& hosts_;
    BalancerSettings settings_;
    /// Indexed by host id.
    std::vector<HostLoad> host_loads_;
    CandidateSet candidates_;
    SubsetSelector subset_selector_;
    /// Maps keys to candidates; rebuilt by the first pick with a key after a change.
    MaglevTable maglev_;
    bool is_maglev_stale_ = true;
    /// Rotates the first candidate that `pick_least_in_flight` looks at, so that hosts with equal counts take turns.
    std::size_t scan_start_ = 0;
    ProbePool probe_pool_;
    /// Samples candidates by weight.
    WeightedSampler probe_sampler_;
    /// Indices of the last sample; a member so that its memory is reused.
    std::vector<std::uint32_t> sampled_candidates_;
    SlowStartLimiter slow_start_;
    /// Whether host states have changed since the last `update_slow_starts`.
    bool are_slow_starts_stale_ = false;
};

}  // namespace cressledge::load_balancing
