// Learned statistics, counters and the report of the executor.

#include <array>

#include "base/log.hpp"
#include "upstream/executor.hpp"

namespace cressledge::upstream {
namespace {

using upstream_health::HostId;
using upstream_health::HostState;

/// Restored hosts with a higher failure ratio are deprioritized for `deprioritization_period`.
constexpr double mostly_failing_ratio = 0.5;
constexpr base::Duration deprioritization_period{1'000'000};
constexpr std::size_t host_state_count = 6;

}  // namespace

learned_state::UpstreamStatsByName UpstreamExecutor::learned_stats() const {
    learned_state::UpstreamStatsByName stats_by_name;
    for (const HostId host_id : hosts_.listed_hosts())
        if (learned_stats_[host_id].call_count >= 1.0)
            stats_by_name[hosts_.at(host_id).spec.name] = learned_stats_[host_id];
    return stats_by_name;
}

void UpstreamExecutor::restore(const learned_state::UpstreamStatsByName& stats_by_name) {
    for (const HostId host_id : hosts_.listed_hosts()) {
        const auto it = stats_by_name.find(hosts_.at(host_id).spec.name);
        if (it == stats_by_name.end())
            continue;
        learned_stats_[host_id] = it->second;
        if (it->second.failure_ratio > mostly_failing_ratio)
            balancer_.deprioritize(host_id, clock_.unix_now() + deprioritization_period);
    }
}

UpstreamExecutor::Counters UpstreamExecutor::counters() const {
    Counters counters = counters_;
    counters.load_probes = probe_runner_.load_probe_count();
    return counters;
}

void UpstreamExecutor::log_report(std::size_t max_hosts) const {
    std::array<std::size_t, host_state_count> counts{};
    for (const HostId host_id : hosts_.listed_hosts())
        ++counts[static_cast<std::size_t>(hosts_.at(host_id).state)];
    const auto count = [&counts](HostState state) { return counts[static_cast<std::size_t>(state)]; };
    base::log_info(
        "upstream: report inventory_version={} ready={} warming_up={} suspect={} ejected={} draining={} "
        "panic_mode={}",
        hosts_.inventory_version(), count(HostState::ready), count(HostState::warming_up),
        count(HostState::suspect), count(HostState::ejected), count(HostState::draining),
        hosts_.in_panic_mode() ? "true" : "false");
    base::log_info(
        "upstream: report requests={} attempts={} retries={} hedges={} reused_connections={} "
        "stale_connections={} retry_budget_exhausted={} failure_rate={:.2f} circuit_breaker_open={}",
        counters_.requests, counters_.attempts, counters_.retries, counters_.hedges,
        counters_.reused_connections, counters_.stale_connections, counters_.retry_budget_exhausted,
        circuit_breaker_.failure_rate(), circuit_breaker_.is_open() ? "true" : "false");
    for (const HostId host_id : hosts_.listed_hosts()) {
        const upstream_health::HostStatus& host = hosts_.at(host_id);
        if (host.state == HostState::ready || host.state == HostState::warming_up)
            continue;
        if (max_hosts-- == 0)
            break;
        base::log_info(
            "upstream: report host={} state={} calls_in_flight={} failure_rate={:.2f} "
            "mean_latency_s={:.3f} consecutive_ejections={}",
            host.spec.name, to_string(host.state), host.calls_in_flight, host.failure_rate,
            host.mean_latency_s, host.consecutive_ejections);
    }
}

}  // namespace cressledge::upstream
