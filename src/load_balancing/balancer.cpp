#include "load_balancing/balancer.hpp"

#include <algorithm>
#include <utility>

#include "load_balancing/seconds.hpp"

namespace cressledge::load_balancing {
namespace {

using upstream_health::CallResult;
using upstream_health::HostState;
using upstream_health::HostStatus;

/// Sizes of the Maglev table: primes that give each host about a hundred entries.
constexpr std::size_t small_maglev_table_size = 65'537;
constexpr std::size_t large_maglev_table_size = 655'373;
/// Number of hosts from which the large table is used.
constexpr std::size_t large_maglev_table_min_hosts = 600;
/// Lower bound of the traffic fraction by which a cost is divided and a reported capacity is multiplied.
constexpr double traffic_fraction_floor = 1e-3;
/// A failed call is recorded with a latency of at least this multiple of the typical latency.
constexpr double failure_latency_factor = 2.0;

}  // namespace

void Balancer::refresh() {
    std::vector<HostId> active_hosts;
    for (const HostId host_id : hosts_.listed_hosts())
        if (hosts_.at(host_id).state != HostState::draining)
            active_hosts.push_back(host_id);
    // If no host of the subset is usable, all active hosts are candidates.
    candidates_.rebuild(hosts_, select_subset(active_hosts), active_hosts, settings_.local_data_centre);
    host_loads_.resize(hosts_.slot_count());
    is_maglev_stale_ = true;
    are_slow_starts_stale_ = true;
    probe_pool_.set_host_count(candidates().size());
    if (sends_load_probes())
        rebuild_probe_sampler();
}

std::vector<HostId> Balancer::select_subset(const std::vector<HostId>& active_hosts) {
    // The names are copied only for subsetting, because copying them is slow in a large fleet.
    if (settings_.subset_size == 0 || active_hosts.empty())
        return active_hosts;
    const auto& selected =
        subset_selector_.select(settings_.node_name, names_of(active_hosts), settings_.subset_size);
    std::vector<HostId> subset;
    subset.reserve(selected.size());
    for (const std::uint32_t i : selected)
        subset.push_back(active_hosts[i]);
    return subset;
}

std::vector<std::string> Balancer::names_of(const std::vector<HostId>& hosts) const {
    std::vector<std::string> names;
    names.reserve(hosts.size());
    for (const HostId host_id : hosts)
        names.push_back(hosts_.at(host_id).spec.name);
    return names;
}

void Balancer::rebuild_probe_sampler() {
    std::vector<double> weights;
    weights.reserve(candidates().size());
    for (const HostId host_id : candidates())
        weights.push_back(hosts_.at(host_id).spec.weight);
    probe_sampler_.build(weights);
}

void Balancer::rebuild_maglev() {
    const bool use_small_table = candidates().size() < large_maglev_table_min_hosts;
    maglev_.build(names_of(candidates()),
                  use_small_table ? small_maglev_table_size : large_maglev_table_size);
    is_maglev_stale_ = false;
}

void Balancer::reconfigure(BalancerSettings settings) {
    settings_ = std::move(settings);
    probe_pool_.reconfigure(settings_.probing);
    slow_start_.reconfigure(settings_.slow_start);
    subset_selector_.invalidate();
    refresh();
}

void Balancer::update_peers(Timestamp now, std::vector<std::string> names) {
    std::sort(names.begin(), names.end());
    if (!names.empty())
        slow_start_.update_peers(now, names, settings_.node_name);
    const bool has_changed = subset_selector_.update_processes(std::move(names));
    if (has_changed && settings_.subset_size != 0)
        refresh();
}

// A host is in slow start after it has been added, and again when it recovers from failures, because their cause is
// unknown.
void Balancer::update_slow_starts(Random& random) {
    if (!std::exchange(are_slow_starts_stale_, false) || !slow_start_.is_enabled())
        return;
    for (const HostId host_id : hosts_.listed_hosts()) {
        const HostStatus& host = hosts_.at(host_id);
        if (host.state != HostState::warming_up && host.state != HostState::suspect)
            slow_start_.finish(host_id);
        else if (!slow_start_.is_running(host_id, host.state_since))
            slow_start_.begin(host_id, host.spec, host.state_since, random);
    }
}

std::optional<LoadReport> Balancer::effective_load(Timestamp now, HostId host_id, LoadReport load) const {
    if (!slow_start_.allows(now, host_id))
        return std::nullopt;
    // A suspect host or one in slow start gets few calls, so its report shows it idle and would attract more.
    const HostState state = hosts_.at(host_id).state;
    if (state != HostState::ready && state != HostState::warming_up)
        return std::nullopt;
    load.capacity *= std::max(traffic_fraction_floor, hosts_.traffic_fraction(now, host_id));
    return load;
}

void Balancer::on_load_report(Timestamp now, HostId host_id, const LoadReport& load) {
    if (settings_.policy != BalancingPolicy::probe_pool)
        return;
    if (const auto effective = effective_load(now, host_id, load))
        probe_pool_.add(now, host_id, *effective);
    else
        probe_pool_.remove(host_id);
}

void Balancer::pick_probe_targets(Random& random, std::vector<HostId>& targets) {
    targets.clear();
    // Under `probe_first` a host may be chosen without pick().
    update_slow_starts(random);
    if (!sends_load_probes() || probe_sampler_.empty())
        return;
    probe_sampler_.sample(random, probe_pool_.take_due_probes(), sampled_candidates_);
    for (const std::uint32_t i : sampled_candidates_)
        targets.push_back(candidates()[i]);
}

void Balancer::on_call_started(Timestamp now, HostId host_id) {
    hosts_.on_call_started(host_id);
    slow_start_.on_call_started(now, host_id);
    host_loads_[host_id].latency.on_call_started(now);
    candidates_.on_call_started(host_id);
}

void Balancer::release_call(Timestamp now, HostId host_id, Duration elapsed) {
    host_loads_[host_id].latency.on_call_ended(now - elapsed, hosts_.at(host_id).calls_in_flight);
    candidates_.on_call_ended(host_id);
}

void Balancer::on_call_cancelled(Timestamp now, HostId host_id, Duration elapsed) {
    release_call(now, host_id, elapsed);
}

void Balancer::on_call_finished(Timestamp now, HostId host_id, CallResult result, Duration latency) {
    release_call(now, host_id, latency);
    double latency_s = to_seconds(latency);
    if (result != CallResult::ok) {
        // A host that fails fast is idle and answers quickly. Neither may attract more calls to it.
        probe_pool_.remove(host_id);
        latency_s = std::max(latency_s, failure_latency_factor * hosts_.typical_latency_s());
    }
    host_loads_[host_id].latency.record(now, latency_s, settings_.peak_decay_time);
}

void Balancer::deprioritize(HostId host_id, Timestamp until) {
    Timestamp& deprioritized_until = host_loads_[host_id].deprioritized_until;
    deprioritized_until = std::max(deprioritized_until, until);
}

double Balancer::cost(Timestamp now, HostId host_id) const {
    const HostStatus& host = hosts_.at(host_id);
    const double latency_s = host_loads_[host_id].latency.expected_s(
        now, hosts_.typical_latency_s(), host.calls_in_flight, settings_.peak_decay_time);
    const double fraction =
        std::max(traffic_fraction_floor, host.spec.weight * hosts_.traffic_fraction(now, host_id));
    return latency_s * (host.calls_in_flight + 1.0) / fraction;
}

}  // namespace cressledge::load_balancing
