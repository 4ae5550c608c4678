#include "rollout/fleet_visibility.hpp"

#include <algorithm>
#include <cstddef>
#include <map>

namespace cressledge::rollout {
namespace {

/// Share of a group that may be unseen, and of the fleet that may see another fleet.
constexpr double max_unseen_fraction = 0.1;

bool exceeds_unseen_fraction(std::size_t unseen, std::size_t all) {
    return static_cast<double>(unseen) > max_unseen_fraction * static_cast<double>(all);
}

/// Counts of one group of processes.
struct GroupVisibility {
    std::size_t processes = 0;
    std::size_t unseen = 0;

    bool is_poor() const { return exceeds_unseen_fraction(unseen, processes); }
};

/// Whether the processes are split between membership tables: `process_counts` is by digest.
bool is_partitioned(const std::map<std::string, std::size_t>& process_counts) {
    std::size_t all = 0;
    std::size_t largest = 0;
    for (const auto& [digest, count] : process_counts) {
        all += count;
        largest = std::max(largest, count);
    }
    return exceeds_unseen_fraction(all - largest, all);
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
        const bool is_seen = observation != nullptr && last_seen_at && now - *last_seen_at <= max_age;
        GroupVisibility& group = target.is_updated ? canary : baseline;
        ++group.processes;
        if (!is_seen)
            ++group.unseen;
        else if (!observation->membership_digest.empty())
            ++counts_by_digest[observation->membership_digest];
    }
    if (canary.is_poor())
        return std::to_string(canary.unseen) + " changed processes are out of sight";
    if (baseline.is_poor())
        return std::to_string(baseline.unseen) + " unchanged processes are out of sight";
    if (is_partitioned(counts_by_digest))
        return "the processes do not see one fleet: a partition";
    return std::nullopt;
}

}  // namespace cressledge::rollout
