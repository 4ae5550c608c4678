// Starts the processes of the cluster and measures when their membership tables agree.
#include "membership_testbed.hpp"

#include <algorithm>
#include <cmath>
#include <string>

namespace cressledge::bench {

using nlohmann::ordered_json;

void MembershipTestbed::wait(double seconds) {
    cluster.run(now() + to_duration(seconds));
}

void MembershipTestbed::add_process() {
    std::vector<std::size_t> seeds;
    for (std::size_t i = 0; i < std::min(seed_members, cluster.size()); ++i)
        seeds.push_back(i);
    cluster.add(seeds);
}

ordered_json MembershipTestbed::measure_agreement(const std::vector<std::size_t>& observers,
                                                  const std::vector<std::size_t>& members, Timestamp start,
                                                  double timeout_s) {
    std::vector<double> agreement_ms;
    std::size_t not_agreed = 0;
    for (const auto& agreed_at : cluster.wait_for_view(observers, members, now() + to_duration(timeout_s))) {
        if (agreed_at)
            agreement_ms.push_back(static_cast<double>((*agreed_at - start).count()) / 1000.0);
        else
            ++not_agreed;
    }
    std::sort(agreement_ms.begin(), agreement_ms.end());
    ordered_json result;
    result["views"] = observers.size();
    result["not_agreed"] = not_agreed;
    if (!agreement_ms.empty()) {
        result["median_ms"] = std::lround(agreement_ms[agreement_ms.size() / 2]);
        result["worst_ms"] = std::lround(agreement_ms.back());
    }
    return result;
}

ordered_json MembershipTestbed::measure_agreement(Timestamp start, double timeout_s) {
    const auto running = cluster.running_processes();
    return measure_agreement(running, running, start, timeout_s);
}

ordered_json MembershipTestbed::sum_metrics(std::initializer_list<const char*> names) {
    ordered_json sums = ordered_json::object();
    for (const std::size_t index : cluster.running_processes()) {
        const auto metrics = cluster.metrics(index);
        for (const char* name : names) {
            const auto it = metrics.find(std::string("fleet.") + name);
            const std::uint64_t value = it == metrics.end() ? 0 : it->second;
            sums[name] = sums.value(name, std::uint64_t{0}) + value;
        }
    }
    return sums;
}

}  // namespace cressledge::bench
