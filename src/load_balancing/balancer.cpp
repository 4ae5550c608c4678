#include "load_balancing/balancer.hpp"

#include <algorithm>
#include <cmath>

#include "load_balancing/subset.hpp"

namespace cressledge::load_balancing {
namespace {

constexpr int max_random_draws = 8;  // for two that may; then all are looked through
constexpr std::uint32_t max_key_choices = 8;

double seconds(Duration s) {
    return static_cast<double>(s.count()) * 1e-6;
}
bool contains(const std::vector<HostId>& hosts, HostId host_id) {
    return std::find(hosts.begin(), hosts.end(), host_id) != hosts.end();
}

}  // namespace

void Balancer::refresh() {
    std::vector<HostId> listed;
    for (const HostId no : hosts_.listed_hosts())
        if (hosts_.at(no).state != upstream_health::HostState::draining)
            listed.push_back(no);
    // The names cost time in a large fleet, and only a subset asks for them.
    std::vector<std::string> names(settings_.subset_size == 0 ? 0 : listed.size());
    for (std::size_t i = 0; i < names.size(); ++i)
        names[i] = hosts_.at(listed[i]).spec.name;
    std::vector<HostId> subset_hosts;
    if (names.empty())
        subset_hosts = listed;
    else
        for (const std::uint32_t i : own_subset(names))
            subset_hosts.push_back(listed[i]);
    loads_.resize(hosts_.slot_count());
    is_local_.assign(hosts_.slot_count(), false);
    usable_hosts_.clear();
    local_hosts_.clear();
    local_weight_ = 0.0;
    local_in_flight_ = in_flight_ = 0;
    for (const HostId no : subset_hosts) {
        const upstream_health::HostStatus& m = hosts_.at(no);
        in_flight_ += m.calls_in_flight;
        if (!hosts_.is_usable(no))
            continue;
        usable_hosts_.push_back(no);
        if (settings_.local_data_centre.empty() || m.spec.data_centre != settings_.local_data_centre)
            continue;
        local_hosts_.push_back(no);
        is_local_[no] = true;
        local_weight_ += m.spec.weight;
        local_in_flight_ += m.calls_in_flight;
    }
    // Guards against a subset whose servers are all out: the others are better than none.
    if (usable_hosts_.empty())
        for (const HostId no : listed)
            if (hosts_.is_usable(no))
                usable_hosts_.push_back(no);
    maglev_stale_ = slow_starts_stale_ = true;
    probe_pool_.set_host_count(usable_hosts_.size());
    if (!sends_load_probes())
        return;
    std::vector<double> weights;
    for (const HostId no : usable_hosts_)
        weights.push_back(hosts_.at(no).spec.weight);
    probe_sampler_.build(weights);
}

void Balancer::reconfigure(BalancerSettings settings) {
    settings_ = std::move(settings);
    probe_pool_.reconfigure(settings_.probing);
    slow_start_.reconfigure(settings_.slow_start);
    subset_input_.clear();
    refresh();
}

// Worked out anew when either list has changed only: a server's change of state comes often, and changes neither.
const std::vector<std::uint32_t>& Balancer::own_subset(const std::vector<std::string>& names) {
    if (!subset_input_.empty() && names == subset_input_)
        return own_subset_;
    subset_input_ = names;
    const auto me = std::find(peer_names_.begin(), peer_names_.end(), settings_.node_name);
    own_subset_ = me == peer_names_.end()
                      ? rendezvous_subset(settings_.node_name, names, settings_.subset_size)
                      : load_balancing::assign_subsets(
                            peer_names_, names,
                            settings_.subset_size)[static_cast<std::size_t>(me - peer_names_.begin())];
    return own_subset_;
}

void Balancer::update_peers(Timestamp now, std::vector<std::string> names) {
    std::sort(names.begin(), names.end());
    if (!names.empty())
        slow_start_.update_peers(now, names, settings_.node_name);
    if (names == peer_names_)
        return;
    peer_names_ = std::move(names);
    subset_input_.clear();
    if (settings_.subset_size != 0)
        refresh();
}

// A server is cold from its announcement, and again when it comes back after failures, whose cause is not known.
void Balancer::update_slow_starts(Random& random) {
    if (!std::exchange(slow_starts_stale_, false) || !slow_start_.is_enabled())
        return;
    for (const HostId no : hosts_.listed_hosts()) {
        const upstream_health::HostStatus& m = hosts_.at(no);
        using upstream_health::HostState;
        if (m.state != HostState::warming_up && m.state != HostState::suspect)
            slow_start_.finish(no);
        else if (!slow_start_.is_running(no, m.state_since))
            slow_start_.begin(no, m.spec, m.state_since, random);
    }
}

std::optional<load_balancing::LoadReport> Balancer::effective_load(Timestamp now, HostId host_id,
                                                                   load_balancing::LoadReport load) const {
    const auto state = hosts_.at(host_id).state;
    if (!slow_start_.allows(now, host_id))
        return std::nullopt;
    // Guards a server that is suspect or in its slow start against the pull of its own idleness.
    if (state != upstream_health::HostState::ready && state != upstream_health::HostState::warming_up)
        return std::nullopt;
    load.capacity *= std::max(1e-3, hosts_.traffic_fraction(now, host_id));
    return load;
}

void Balancer::on_load_report(Timestamp now, HostId host_id, const load_balancing::LoadReport& load) {
    if (settings_.policy != BalancingPolicy::probe_pool)
        return;
    if (const auto weighed = effective_load(now, host_id, load))
        probe_pool_.add(now, host_id, *weighed);
    else
        probe_pool_.remove(host_id);
}

void Balancer::pick_probe_targets(Random& random, std::vector<HostId>& targets) {
    targets.clear();
    update_slow_starts(random);  // a choice by what servers say does not come through pick()
    if (!sends_load_probes() || probe_sampler_.empty())
        return;
    probe_sampler_.sample(random, probe_pool_.take_due_probes(), sampled_);
    for (const std::uint32_t i : sampled_)
        targets.push_back(usable_hosts_[i]);
}

void Balancer::on_call_started(Timestamp now, HostId host_id) {
    hosts_.on_call_started(host_id);
    slow_start_.on_call_started(now, host_id);
    loads_[host_id].in_flight_start_sum_s += seconds(now);
    ++in_flight_;
    local_in_flight_ += is_local_[host_id] ? 1 : 0;
}

void Balancer::release_call(Timestamp now, HostId host_id, Duration elapsed) {
    HostLoad& l = loads_[host_id];
    l.in_flight_start_sum_s -= seconds(now - elapsed);
    if (hosts_.at(host_id).calls_in_flight <= 1)
        l.in_flight_start_sum_s = 0.0;  // no rounding is carried on
    in_flight_ -= in_flight_ > 0 ? 1 : 0;
    local_in_flight_ -= is_local_[host_id] && local_in_flight_ > 0 ? 1 : 0;
}
void Balancer::on_call_cancelled(Timestamp now, HostId host_id, Duration elapsed) {
    release_call(now, host_id, elapsed);
}
void Balancer::deprioritize(HostId host_id, Timestamp until) {
    loads_[host_id].deprioritized_until = std::max(loads_[host_id].deprioritized_until, until);
}

void Balancer::on_call_finished(Timestamp now, HostId host_id, upstream_health::CallResult result,
                                Duration latency) {
    HostLoad& l = loads_[host_id];
    release_call(now, host_id, latency);
    if (result != upstream_health::CallResult::ok)
        probe_pool_.remove(host_id);  // one that fails fast is idle, and draws nothing by it
    // Guards against a server that fails fast: failing never looks quicker than a usual answer.
    const double t = result == upstream_health::CallResult::ok
                         ? seconds(latency)
                         : std::max(seconds(latency), 2.0 * hosts_.typical_latency_s());
    if (t >= l.peak_latency_s || l.peak_latency_s <= 0.0) {
        l.peak_latency_s = t;
    } else {
        const double keep = std::exp(-seconds(now - l.peak_updated_at) / seconds(settings_.peak_decay_time));
        l.peak_latency_s = t + (l.peak_latency_s - t) * std::min(keep, 0.95);
    }
    l.peak_updated_at = now;
}

double Balancer::cost(Timestamp now, HostId host_id) const {
    const upstream_health::HostStatus& m = hosts_.at(host_id);
    const HostLoad& l = loads_[host_id];
    // Fades while nothing is heard, or a server that was dear once would never be asked again.
    double t = hosts_.typical_latency_s();
    if (l.peak_latency_s > 0.0)
        t = std::max(0.1 * t, l.peak_latency_s * std::exp(-seconds(now - l.peak_updated_at) /
                                                          seconds(settings_.peak_decay_time)));
    // What is out for longer than a call takes there tells before it comes back, or does not.
    if (m.calls_in_flight > 0)
        t = std::max(t, seconds(now) - l.in_flight_start_sum_s / m.calls_in_flight);
    const double part = std::max(1e-3, m.spec.weight * hosts_.traffic_fraction(now, host_id));
    return t * (m.calls_in_flight + 1.0) / part;
}

bool Balancer::is_eligible(Timestamp now, HostId host_id, const std::vector<HostId>& tried_hosts,
                           bool include_deprioritized) const {
    const upstream_health::HostStatus& m = hosts_.at(host_id);
    return (include_deprioritized || !is_deprioritized(now, host_id)) && hosts_.is_usable(host_id) &&
           (settings_.max_calls_in_flight == 0 || m.calls_in_flight < settings_.max_calls_in_flight) &&
           !contains(tried_hosts, host_id) && slow_start_.allows(now, host_id);
}

const std::vector<HostId>& Balancer::preferred_hosts() const {
    const bool room =
        static_cast<double>(local_in_flight_) < settings_.spillover_calls_per_weight * local_weight_;
    return !local_hosts_.empty() && room ? local_hosts_ : usable_hosts_;
}

HostId Balancer::pick_least_in_flight(Timestamp now, const std::vector<HostId>& tried_hosts,
                                      bool include_deprioritized) {
    HostId best = no_host;
    ++scan_start_;
    for (std::size_t i = 0; i < usable_hosts_.size(); ++i) {
        const HostId no = usable_hosts_[(scan_start_ + i) % usable_hosts_.size()];
        if (!is_eligible(now, no, tried_hosts, include_deprioritized))
            continue;
        if (best == no_host || hosts_.at(no).calls_in_flight < hosts_.at(best).calls_in_flight)
            best = no;
    }
    return best;
}

HostId Balancer::pick_round_robin(Timestamp now, const std::vector<HostId>& tried_hosts,
                                  bool include_deprioritized) {
    HostId best = no_host;
    double total = 0.0;
    for (const HostId no : usable_hosts_) {
        if (!is_eligible(now, no, tried_hosts, include_deprioritized))
            continue;
        const double weight = hosts_.at(no).spec.weight * hosts_.traffic_fraction(now, no);
        loads_[no].round_robin_credit += weight;
        total += weight;
        if (best == no_host || loads_[no].round_robin_credit > loads_[best].round_robin_credit)
            best = no;
    }
    if (best != no_host)
        loads_[best].round_robin_credit -= total;
    return best;
}

HostId Balancer::pick_of_two(Timestamp now, const std::vector<HostId>& candidates,
                             const std::vector<HostId>& tried_hosts, Random& random,
                             bool include_deprioritized) const {
    if (candidates.empty())
        return no_host;
    const auto size = static_cast<std::uint32_t>(candidates.size());
    HostId one = no_host;
    for (int i = 0; i < max_random_draws; ++i) {
        const HostId no = candidates[random(size)];
        if (no == one || !is_eligible(now, no, tried_hosts, include_deprioritized))
            continue;
        if (one != no_host)
            return cost(now, no) < cost(now, one) ? no : one;
        one = no;
    }
    if (one != no_host)
        return one;
    const std::size_t start = random(size);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const HostId no = candidates[(start + i) % candidates.size()];
        if (is_eligible(now, no, tried_hosts, include_deprioritized) &&
            (one == no_host || cost(now, no) < cost(now, one)))
            one = no;
    }
    return one;
}

HostId Balancer::pick_by_key(Timestamp now, std::uint64_t key, const std::vector<HostId>& tried_hosts,
                             bool include_deprioritized) {
    if (usable_hosts_.empty())
        return no_host;
    if (maglev_stale_) {
        std::vector<std::string> used;
        for (const HostId no : usable_hosts_)
            used.push_back(hosts_.at(no).spec.name);
        maglev_.build(used,
                      used.size() < 600 ? 65'537 : 655'373);  // primes, a hundred places a server or more
        maglev_stale_ = false;
    }
    const double mean = (static_cast<double>(in_flight_) + 1.0) / static_cast<double>(usable_hosts_.size());
    const double most = std::max(1.0, std::ceil(settings_.bounded_load_factor * mean));
    for (std::uint32_t n = 0; n < max_key_choices; ++n) {
        const HostId no = usable_hosts_[maglev_.find(key, n)];
        const upstream_health::HostStatus& m = hosts_.at(no);
        if (m.calls_in_flight + 1.0 <= most && m.state != upstream_health::HostState::suspect &&
            is_eligible(now, no, tried_hosts, include_deprioritized))
            return no;
    }
    return no_host;
}

HostId Balancer::choose(Timestamp now, std::uint64_t key, const std::vector<HostId>& tried_hosts,
                        Random& random, bool include_deprioritized) {
    if (settings_.policy == BalancingPolicy::least_in_flight)
        return pick_least_in_flight(now, tried_hosts, include_deprioritized);
    if (settings_.policy == BalancingPolicy::round_robin)
        return pick_round_robin(now, tried_hosts, include_deprioritized);
    if (key != 0)
        if (const HostId no = pick_by_key(now, key, tried_hosts, include_deprioritized); no != no_host)
            return no;
    if (settings_.policy == BalancingPolicy::probe_pool) {
        const HostId said = probe_pool_.pick(now, [&](HostId no) { return hosts_.is_usable(no); });
        if (said != no_host && is_eligible(now, said, tried_hosts, include_deprioritized))
            return said;
    }
    const HostId no = pick_of_two(now, preferred_hosts(), tried_hosts, random, include_deprioritized);
    return no != no_host || local_hosts_.empty()
               ? no
               : pick_of_two(now, usable_hosts_, tried_hosts, random, include_deprioritized);
}

HostId Balancer::pick(Timestamp now, std::uint64_t key, const std::vector<HostId>& tried_hosts,
                      Random& random) {
    update_slow_starts(random);
    const HostId host_id = choose(now, key, tried_hosts, random, false);
    return host_id != no_host ? host_id
                              : choose(now, key, tried_hosts, random, true);  // shunned is better than none
}

}  // namespace cressledge::load_balancing
