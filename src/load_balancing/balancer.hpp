// Which server a call goes to. No I/O; membership says who may, time and randomness are arguments.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "load_balancing/load_probes.hpp"
#include "load_balancing/maglev.hpp"
#include "load_balancing/slow_start.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::load_balancing {

using base::Duration;
using base::Timestamp;
using upstream_health::HostId;
using upstream_health::HostSet;
using upstream_health::no_host;
using upstream_health::Random;

enum class BalancingPolicy : std::uint8_t {
    least_in_flight,  // as it was before this module: over all servers, in turn
    round_robin,  // weighted, smooth
    power_of_two_choices,  // of two at random, the one that costs less by peak EWMA times calls in hand
    probe_pool,  // by what servers have just said of themselves (load_balancing::ProbePool); two choices while too few have
    probe_first,  // of those that a call's own probes found, the least loaded (load_balancing::best); two choices where none answers
};

struct BalancerSettings {
    BalancingPolicy policy = BalancingPolicy::power_of_two_choices;
    std::string local_data_centre;  // this process's data centre; empty: there is none
    double spillover_calls_per_weight =
        1.5;  // calls in hand for each unit of weight, over which other places are used as well
    Duration peak_decay_time{10'000'000};  // of a peak
    std::uint32_t max_calls_in_flight = 0;  // of one server; 0: no such bound
    std::size_t subset_size = 0;  // servers that this process uses; 0: all
    std::string node_name;  // this process's name, for its subset
    load_balancing::LoadProbeSettings probing;
    double bounded_load_factor = 1.25;  // times the mean, for a key's own server
    SlowStartSettings slow_start;  // of a cold server, over the whole fleet
};

class Balancer {
public:
    Balancer(HostSet& hosts, BalancerSettings settings)
        : hosts_(hosts),
          settings_(std::move(settings)),
          probe_pool_(settings_.probing, 0),
          slow_start_(settings_.slow_start) {}

    void refresh();  // the inventory or a state has changed
    void reconfigure(
        BalancerSettings settings);  // from the next choice on; what was learned of servers stays
    // nobody: there is none that may, and has not been `tried`. `key` 0: none.
    HostId pick(Timestamp now, std::uint64_t key, const std::vector<HostId>& tried_hosts, Random& random);
    void on_call_started(Timestamp now, HostId host_id);
    void on_call_finished(Timestamp now, HostId host_id, upstream_health::CallResult result,
                          Duration latency);
    void on_call_cancelled(Timestamp now, HostId host_id, Duration elapsed);
    // What a server's word on its load is worth here: less in its slow start; none: it may not be chosen by it.
    std::optional<load_balancing::LoadReport> effective_load(Timestamp now, HostId host_id,
                                                             load_balancing::LoadReport load) const;
    // What a server says of its load, in an answer or to a probe.
    void on_load_report(Timestamp now, HostId host_id, const load_balancing::LoadReport& load);
    // Whom to ask for its load beside one more call, or before it: by chance, by weight. None with other policies.
    void pick_probe_targets(Random& random, std::vector<HostId>& targets);
    // The live processes of the fleet, this one with them: subsets and the calls to a cold server are shared out among
    // them evenly. Empty: each process chooses by its own name alone. Told again now and then: it says who lives.
    void update_peers(Timestamp now, std::vector<std::string> names);
    void deprioritize(HostId host_id, Timestamp until);  // others first until then
    bool is_deprioritized(Timestamp now, HostId host_id) const {
        return loads_[host_id].deprioritized_until > now;
    }
    double cost(Timestamp now, HostId host_id) const;
    const std::vector<HostId>& candidates() const { return usable_hosts_; }
    bool probes_before_call() const { return settings_.policy == BalancingPolicy::probe_first; }

private:
    struct HostLoad {
        double peak_latency_s = 0.0;  // seconds
        Timestamp peak_updated_at{0};
        double in_flight_start_sum_s = 0.0;  // sum of the starts of what is in hand, seconds since the epoch
        Timestamp deprioritized_until{0};
        double round_robin_credit = 0.0;  // weighted round robin's
    };
    bool is_eligible(Timestamp now, HostId host_id, const std::vector<HostId>& tried_hosts,
                     bool include_deprioritized) const;
    void release_call(Timestamp now, HostId host_id, Duration elapsed);
    HostId choose(Timestamp now, std::uint64_t key, const std::vector<HostId>& tried_hosts, Random& random,
                  bool include_deprioritized);
    HostId pick_least_in_flight(Timestamp now, const std::vector<HostId>& tried_hosts,
                                bool include_deprioritized);
    HostId pick_round_robin(Timestamp now, const std::vector<HostId>& tried_hosts,
                            bool include_deprioritized);
    HostId pick_of_two(Timestamp now, const std::vector<HostId>& candidates,
                       const std::vector<HostId>& tried_hosts, Random& random,
                       bool include_deprioritized) const;
    HostId pick_by_key(Timestamp now, std::uint64_t key, const std::vector<HostId>& tried_hosts,
                       bool include_deprioritized);
    const std::vector<HostId>& preferred_hosts() const;
    void update_slow_starts(Random& random);  // those that began or ended with the last refresh()
    bool sends_load_probes() const {
        return settings_.policy == BalancingPolicy::probe_pool || probes_before_call();
    }
    const std::vector<std::uint32_t>& own_subset(const std::vector<std::string>& names);

    HostSet& hosts_;
    BalancerSettings settings_;
    std::vector<HostLoad> loads_;
    std::vector<HostId> usable_hosts_, local_hosts_;  // those that may be used: everywhere, and here
    double local_weight_ = 0.0;
    std::uint64_t local_in_flight_ = 0, in_flight_ = 0;
    std::vector<bool> is_local_;
    MaglevTable maglev_;
    bool maglev_stale_ = true;  // the table is of an earlier set; it is made when a key asks for it
    std::size_t scan_start_ = 0;
    load_balancing::ProbePool probe_pool_;
    load_balancing::WeightedSampler probe_sampler_;  // of all_
    std::vector<std::uint32_t> sampled_;
    std::vector<std::string> peer_names_,
        subset_input_;  // parted_: the servers that part_ is of; empty: none
    std::vector<std::uint32_t> own_subset_;
    SlowStartLimiter slow_start_;
    bool slow_starts_stale_ = false;
};

}  // namespace cressledge::load_balancing
