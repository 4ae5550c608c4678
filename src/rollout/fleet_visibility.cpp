#include "rollout/fleet_visibility.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace cressledge::rollout {
namespace {

/// Largest accepted fraction of a group that is not observed, and of the fleet with a different membership table.
constexpr double max_unobserved_fraction = 0.1;

bool exceeds_unobserved_fraction(std::size_t unobserved, std::size_t all) {
    return static_cast<double>(unobserved) > max_unobserved_fraction * static_cast<double>(all);
}

/// Number of processes in a group, and how many of them were not observed recently.
struct GroupVisibility {
    std::size_t processes = 0;
    std::size_t unobserved = 0;

    bool is_insufficient() const { return exceeds_unobserved_fraction(unobserved, processes); }
};

/// Whether too many processes have a membership table other than the most common one. `process_counts` is keyed by the
/// digest of the table.
bool is_partitioned(const std::map<std::string, std::size_t>& process_counts) {
    std::size_t all = 0;
    std::size_t largest = 0;
    for (const auto& [digest, count] : process_counts) {
        all += count;
        largest = std::max(largest, count);
    }
    return exceeds_unobserved_fraction(all - largest, all);
}

}  // namespace

std::optional<std::string> find_visibility_problem(Timestamp now, Duration max_age,
                                                   const std::vector<RolloutTarget>& targets,
                                                   const Observations& observations,
                                                   const TrafficMonitor& traffic) {
    GroupVisibility canary;
    GroupVisibility baseline;
    std::map<std::string, std::size_t> counts_by_digest;
    for (const RolloutTarget& target : targets) {
        const ProcessObservation* const observation = find_reachable(observations, target.id);
        const std::optional<Timestamp> last_seen_at = traffic.last_seen_at(target.id);
        const bool is_observed = observation != nullptr && last_seen_at && now - *last_seen_at <= max_age;
        GroupVisibility& group = target.is_updated ? canary : baseline;
        ++group.processes;
        if (!is_observed)
            ++group.unobserved;
        else if (!observation->membership_digest.empty())
            ++counts_by_digest[observation->membership_digest];
    }
    if (canary.is_insufficient())
        return std::to_string(canary.unobserved) + " changed processes not observed";
    if (baseline.is_insufficient())
        return std::to_string(baseline.unobserved) + " unchanged processes not observed";
    if (is_partitioned(counts_by_digest))
        return "membership tables of the processes differ: network partition suspected";
    return std::nullopt;
}

}  // namespace cressledge::rollout
