#include "emulator/balancing_process.hpp"

#include <algorithm>
#include <set>

#include "load_balancing/subset.hpp"

namespace cressledge::emulator {
namespace {

using base::Timestamp;
using upstream_health::CallResult;
using upstream_health::HostId;
using upstream_health::Random;

std::string process_name(std::size_t index) {
    return "p" + std::to_string(index);
}

load_balancing::BalancingPolicy policy_of(BalancingChoice choice) {
    switch (choice) {
        case BalancingChoice::two_choices:
            return load_balancing::BalancingPolicy::power_of_two_choices;
        case BalancingChoice::probe_pool:
            return load_balancing::BalancingPolicy::probe_pool;
        default:
            return load_balancing::BalancingPolicy::probe_first;
    }
}

}  // namespace

bool uses_balancer(BalancingChoice choice) {
    return choice == BalancingChoice::two_choices || choice == BalancingChoice::probe_pool ||
           choice == BalancingChoice::probe_first;
}

std::vector<std::string> process_names(std::size_t count) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back(process_name(i));
    std::sort(names.begin(), names.end());
    return names;
}

double subset_churn(std::size_t old_count, std::size_t new_count, const std::vector<std::string>& servers,
                    std::size_t subset_size) {
    const auto old_names = process_names(old_count);
    const auto new_names = process_names(new_count);
    const auto old_subsets = load_balancing::assign_subsets(old_names, servers, subset_size);
    const auto new_subsets = load_balancing::assign_subsets(new_names, servers, subset_size);
    double replaced = 0.0;
    double total = 0.0;
    for (std::size_t i = 0; i < old_names.size(); ++i) {
        const auto it = std::lower_bound(new_names.begin(), new_names.end(), old_names[i]);
        if (it == new_names.end() || *it != old_names[i])
            continue;
        const auto& new_subset = new_subsets[static_cast<std::size_t>(it - new_names.begin())];
        const std::set<std::uint32_t> old_subset(old_subsets[i].begin(), old_subsets[i].end());
        for (const std::uint32_t server : new_subset)
            replaced += old_subset.count(server) == 0 ? 1.0 : 0.0;
        total += static_cast<double>(new_subset.size());
    }
    return replaced / std::max(1.0, total);
}

void BalancingProcess::start(const LoadSpreadScenario& scenario,
                             const std::vector<upstream_health::HostSpec>& servers, std::size_t index,
                             std::size_t fleet_size, std::int64_t now, Random& random) {
    ++incarnation_;
    in_flight_.assign(servers.size(), 0);
    if (scenario.choice == BalancingChoice::round_robin) {
        round_robin_credit_.clear();
        for (const upstream_health::HostSpec& server : servers)
            round_robin_credit_.push_back((random() + 0.5) / 4294967296.0 * server.weight);
    }
    if (!uses_balancer(scenario.choice))
        return;
    load_balancing::BalancerSettings settings;
    settings.policy = policy_of(scenario.choice);
    settings.probing = scenario.probing;
    if (scenario.choice == BalancingChoice::probe_first)
        settings.probing.probes_per_call = scenario.probes_per_call;
    settings.subset_size = scenario.subset_size;
    settings.node_name = process_name(index);
    hosts_ = std::make_unique<upstream_health::HostSet>();
    hosts_->update(Timestamp(now), servers, random);
    balancer_ = std::make_unique<load_balancing::Balancer>(*hosts_, settings);
    if (scenario.subset_size != 0)
        balancer_->update_peers(Timestamp(now), process_names(fleet_size));
    balancer_->refresh();
}

void BalancingProcess::tick(std::int64_t now) {
    if (!hosts_->tick(Timestamp(now)).empty())
        balancer_->refresh();
}

void BalancingProcess::on_call_started(std::int64_t now, HostId server) {
    ++in_flight_[server];
    if (balancer_)
        balancer_->on_call_started(Timestamp(now), server);
}

void BalancingProcess::on_call_finished(std::int64_t now, HostId server, CallResult result,
                                        Duration latency) {
    --in_flight_[server];
    if (balancer_)
        report_result(now, server, result, latency);
}

void BalancingProcess::on_connection_refused(std::int64_t now, HostId server) {
    balancer_->on_call_started(Timestamp(now), server);
    report_result(now, server, CallResult::connection_refused, Duration(0));
}

void BalancingProcess::report_result(std::int64_t now, HostId server, CallResult result, Duration latency) {
    balancer_->on_call_finished(Timestamp(now), server, result, latency);
    if (!hosts_->on_call_finished(Timestamp(now), server, result, latency).empty())
        balancer_->refresh();
}

HostId BalancingProcess::next_round_robin(const std::vector<upstream_health::HostSpec>& servers) {
    // Smooth weighted round robin: each server's credit grows by its weight; the server with the highest credit is
    // chosen and charged the sum of all weights.
    std::uint32_t best = 0;
    double total_weight = 0.0;
    for (std::uint32_t i = 0; i < round_robin_credit_.size(); ++i) {
        round_robin_credit_[i] += servers[i].weight;
        total_weight += servers[i].weight;
        if (round_robin_credit_[i] > round_robin_credit_[best])
            best = i;
    }
    round_robin_credit_[best] -= total_weight;
    return best;
}

}  // namespace cressledge::emulator
