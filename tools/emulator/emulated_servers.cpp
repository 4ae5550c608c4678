#include "emulator/emulated_servers.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::emulator {

using upstream_health::HostId;

EmulatedServers::EmulatedServers(const LoadSpreadScenario& scenario)
    : is_down_(scenario.servers), stale_reports_(scenario.servers) {
    std::vector<double> capacities;
    for (std::size_t i = 0; i < scenario.servers; ++i) {
        const double capacity = scenario.capacities[i % scenario.capacities.size()];
        fake_upstream::ServerProfile profile = scenario.server_profile;
        profile.slots =
            std::max(1U, static_cast<unsigned>(std::lround(capacity * scenario.server_profile.slots)));
        profile.probe_round_trip = scenario.round_trip;
        profile.probes_per_call = scenario.choice == BalancingChoice::probe_pool
                                      ? static_cast<unsigned>(std::lround(scenario.probing.probes_per_call))
                                      : scenario.probes_per_call;
        total_slots_ += profile.slots;
        capacities.push_back(capacity);
        specs_.push_back(
            {"s" + std::to_string(i), "127.0.0.1:" + std::to_string(i + 1), "http", "", "", capacity, false});
        models_.emplace_back(profile);
    }
    capacity_sampler_.build(capacities);
}

std::vector<std::string> EmulatedServers::names() const {
    std::vector<std::string> names;
    for (const upstream_health::HostSpec& spec : specs_)
        names.push_back(spec.name);
    return names;
}

void EmulatedServers::restart(std::size_t server, base::Timestamp now) {
    is_down_[server] = false;
    models_[server].restart(now);
}

void EmulatedServers::refresh_stale_reports() {
    for (std::size_t i = 0; i < models_.size(); ++i)
        stale_reports_[i] = models_[i].load_report();
}

HostId EmulatedServers::pick_by_stale_reports() const {
    const auto lowest =
        std::min_element(stale_reports_.begin(), stale_reports_.end(),
                         [](const auto& a, const auto& b) { return a.utilization() < b.utilization(); });
    return static_cast<HostId>(lowest - stale_reports_.begin());
}

HostId EmulatedServers::pick_shortest_queue(upstream_health::Random& random) const {
    const auto count = static_cast<std::uint32_t>(models_.size());
    HostId best = 0;
    const std::uint32_t start = random(count);
    for (std::uint32_t i = 0; i < count; ++i) {
        const HostId server = (start + i) % count;
        if (is_down_[server])
            continue;
        if (i == 0 ||
            models_[server].load_report().utilization(1.0) < models_[best].load_report().utilization(1.0))
            best = server;
    }
    return best;
}

}  // namespace cressledge::emulator
