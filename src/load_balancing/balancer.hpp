// Which host a call goes to. `HostSet` says which hosts are usable; the calls themselves, and the load probes, are made
// by the upstream executor. No I/O; time and randomness are arguments.
//
// Invariants: no call goes to a host that is not usable, has been tried for the same request, or is at its bound of calls
// in flight; a host in slow start gets no call beyond this process's share, whatever the policy.
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

/// Chooses the host of each call to an upstream by the policy of `BalancerSettings`, over the candidates of this process.
class Balancer {
public:
    /// `hosts` has to outlive the balancer.
    Balancer(HostSet& hosts, BalancerSettings settings)
        : hosts_(hosts),
          settings_(std::move(settings)),
          probe_pool_(settings_.probing, 0),
          slow_start_(settings_.slow_start) {}

    /// To be called when the inventory or the state of a host has changed.
    void refresh();
    /// Takes effect with the next choice; what was learned of hosts stays.
    void reconfigure(BalancerSettings settings);

    /// The host for a call: none of `tried_hosts`, and a deprioritized one only if there is no other. `key`: affinity
    /// key of the request; 0: none. `no_host` if no host is eligible.
    HostId pick(Timestamp now, std::uint64_t key, const std::vector<HostId>& tried_hosts, Random& random);

    /// To be called when a call to the host is sent.
    void on_call_started(Timestamp now, HostId host_id);
    /// To be called before `HostSet::on_call_finished`.
    void on_call_finished(Timestamp now, HostId host_id, upstream_health::CallResult result,
                          Duration latency);
    /// To be called before `HostSet::on_call_cancelled`.
    void on_call_cancelled(Timestamp now, HostId host_id, Duration elapsed);

    /// A load report as it counts here: with less capacity during slow start; none if the host may not be chosen by it.
    std::optional<LoadReport> effective_load(Timestamp now, HostId host_id, LoadReport load) const;
    /// Takes the load report of an answer or a probe.
    void on_load_report(Timestamp now, HostId host_id, const LoadReport& load);
    /// Hosts to probe for their load beside one more call, or before it: random ones, by weight. None under a policy
    /// without probes.
    void pick_probe_targets(Random& random, std::vector<HostId>& targets);

    /// The live processes of the fleet, this one among them: subsets and the calls to hosts in slow start are shared out
    /// among them. Empty: none is known. To be told again regularly, as it says who lives.
    void update_peers(Timestamp now, std::vector<std::string> names);

    /// Has other hosts chosen first until then.
    void deprioritize(HostId host_id, Timestamp until);
    /// Whether the host is deprioritized at `now`.
    bool is_deprioritized(Timestamp now, HostId host_id) const {
        return host_loads_[host_id].deprioritized_until > now;
    }

    /// Cost of one more call to the host: expected seconds times calls in flight over its share of the traffic.
    double cost(Timestamp now, HostId host_id) const;
    /// Hosts that this process uses now.
    const std::vector<HostId>& candidates() const { return candidates_.usable(); }
    /// Whether the policy is `probe_first`: each call waits for its own load probes.
    bool probes_before_call() const { return settings_.policy == BalancingPolicy::probe_first; }

private:
    /// What this process knows of a host from its own calls.
    struct HostLoad {
        PeakLatency latency;
        Timestamp deprioritized_until{0};
        double round_robin_credit = 0.0;
    };
    enum class Deprioritized : std::uint8_t { exclude, include };
    /// What one choice goes by.
    struct Selection {
        Timestamp now;
        std::uint64_t key;
        const std::vector<HostId>& tried_hosts;
        Deprioritized deprioritized;
    };

    HostId choose(const Selection& selection, Random& random);
    HostId pick_least_in_flight(const Selection& selection);
    HostId pick_round_robin(const Selection& selection);
    HostId pick_by_key(const Selection& selection);
    HostId pick_from_probe_pool(const Selection& selection);
    HostId pick_of_two(const Selection& selection, const std::vector<HostId>& hosts, Random& random) const;
    HostId pick_cheapest(const Selection& selection, const std::vector<HostId>& hosts,
                         std::size_t start) const;
    bool is_eligible(const Selection& selection, HostId host_id) const;

    std::vector<HostId> own_subset(const std::vector<HostId>& active_hosts);
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
    /// By host id.
    std::vector<HostLoad> host_loads_;
    CandidateSet candidates_;
    SubsetSelector subset_selector_;
    /// Of the candidates; built again when a key asks for it.
    MaglevTable maglev_;
    bool is_maglev_stale_ = true;
    /// Where the next scan by least calls in flight begins.
    std::size_t scan_start_ = 0;
    ProbePool probe_pool_;
    /// Over the candidates, by weight.
    WeightedSampler probe_sampler_;
    std::vector<std::uint32_t> sampled_;
    SlowStartLimiter slow_start_;
    /// States have changed since slow starts were last begun and finished.
    bool are_slow_starts_stale_ = false;
};

}  // namespace cressledge::load_balancing
