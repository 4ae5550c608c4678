// The balancer's policies: how a host is chosen among the eligible ones.
#include <algorithm>
#include <cmath>

#include "load_balancing/balancer.hpp"

namespace cressledge::load_balancing {
namespace {

using upstream_health::HostState;
using upstream_health::HostStatus;

/// Random draws in which two eligible hosts have to be found; after that, all hosts are scanned.
constexpr int max_random_draws = 8;
/// Number of Maglev choices that are tried in order for a key.
constexpr std::uint32_t max_key_choices = 8;

bool contains(const std::vector<HostId>& hosts, HostId host_id) {
    return std::find(hosts.begin(), hosts.end(), host_id) != hosts.end();
}

}  // namespace

bool Balancer::is_eligible(const PickCriteria& criteria, HostId host_id) const {
    if (criteria.deprioritized == Deprioritized::exclude && is_deprioritized(criteria.now, host_id))
        return false;
    const bool is_at_limit = settings_.max_calls_in_flight != 0 &&
                             hosts_.at(host_id).calls_in_flight >= settings_.max_calls_in_flight;
    return !is_at_limit && hosts_.is_usable(host_id) && !contains(criteria.tried_hosts, host_id) &&
           slow_start_.allows(criteria.now, host_id);
}

HostId Balancer::pick(Timestamp now, std::uint64_t key, const std::vector<HostId>& tried_hosts,
                      Random& random) {
    update_slow_starts(random);
    const HostId host_id = pick_by_policy({now, key, tried_hosts, Deprioritized::exclude}, random);
    if (host_id != no_host)
        return host_id;
    return pick_by_policy({now, key, tried_hosts, Deprioritized::include}, random);
}

HostId Balancer::pick_by_policy(const PickCriteria& criteria, Random& random) {
    if (settings_.policy == BalancingPolicy::least_in_flight)
        return pick_least_in_flight(criteria);
    if (settings_.policy == BalancingPolicy::round_robin)
        return pick_round_robin(criteria);
    if (const HostId host_id = pick_by_key(criteria); host_id != no_host)
        return host_id;
    if (const HostId host_id = pick_from_probe_pool(criteria); host_id != no_host)
        return host_id;
    const auto& preferred = candidates_.preferred(settings_.spillover_calls_per_weight);
    const HostId host_id = pick_power_of_two(criteria, preferred, random);
    if (host_id != no_host || candidates_.local().empty())
        return host_id;
    return pick_power_of_two(criteria, candidates(), random);
}

HostId Balancer::pick_least_in_flight(const PickCriteria& criteria) {
    HostId best = no_host;
    ++scan_start_;
    for (std::size_t i = 0; i < candidates().size(); ++i) {
        const HostId host_id = candidates()[(scan_start_ + i) % candidates().size()];
        if (!is_eligible(criteria, host_id))
            continue;
        if (best == no_host || hosts_.at(host_id).calls_in_flight < hosts_.at(best).calls_in_flight)
            best = host_id;
    }
    return best;
}

HostId Balancer::pick_round_robin(const PickCriteria& criteria) {
    HostId best = no_host;
    double total_weight = 0.0;
    for (const HostId host_id : candidates()) {
        if (!is_eligible(criteria, host_id))
            continue;
        const double weight = hosts_.at(host_id).spec.weight * hosts_.traffic_fraction(criteria.now, host_id);
        host_loads_[host_id].round_robin_credit += weight;
        total_weight += weight;
        if (best == no_host || host_loads_[host_id].round_robin_credit > host_loads_[best].round_robin_credit)
            best = host_id;
    }
    if (best != no_host)
        host_loads_[best].round_robin_credit -= total_weight;
    return best;
}

HostId Balancer::pick_by_key(const PickCriteria& criteria) {
    if (criteria.key == 0 || candidates().empty())
        return no_host;
    if (is_maglev_stale_)
        rebuild_maglev();
    const double max_calls =
        std::max(1.0, std::ceil(settings_.bounded_load_factor * candidates_.mean_calls_including_next()));
    for (std::uint32_t choice = 0; choice < max_key_choices; ++choice) {
        const HostId host_id = candidates()[maglev_.find(criteria.key, choice)];
        const HostStatus& host = hosts_.at(host_id);
        const bool has_capacity = host.calls_in_flight + 1.0 <= max_calls;
        if (has_capacity && host.state != HostState::suspect && is_eligible(criteria, host_id))
            return host_id;
    }
    return no_host;
}

HostId Balancer::pick_from_probe_pool(const PickCriteria& criteria) {
    if (settings_.policy != BalancingPolicy::probe_pool)
        return no_host;
    const HostId host_id =
        probe_pool_.pick(criteria.now, [this](HostId pooled) { return hosts_.is_usable(pooled); });
    return host_id != no_host && is_eligible(criteria, host_id) ? host_id : no_host;
}

HostId Balancer::pick_power_of_two(const PickCriteria& criteria, const std::vector<HostId>& hosts,
                                   Random& random) const {
    if (hosts.empty())
        return no_host;
    const auto size = static_cast<std::uint32_t>(hosts.size());
    HostId first = no_host;
    for (int draw = 0; draw < max_random_draws; ++draw) {
        const HostId second = hosts[random(size)];
        if (second == first || !is_eligible(criteria, second))
            continue;
        if (first != no_host)
            return cost(criteria.now, second) < cost(criteria.now, first) ? second : first;
        first = second;
    }
    if (first != no_host)
        return first;
    return pick_cheapest(criteria, hosts, random(size));
}

HostId Balancer::pick_cheapest(const PickCriteria& criteria, const std::vector<HostId>& hosts,
                               std::size_t start) const {
    HostId best = no_host;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const HostId host_id = hosts[(start + i) % hosts.size()];
        if (!is_eligible(criteria, host_id))
            continue;
        if (best == no_host || cost(criteria.now, host_id) < cost(criteria.now, best))
            best = host_id;
    }
    return best;
}

}  // namespace cressledge::load_balancing
