/// The observed state of the processes of a fleet at one time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "rollout/class_metrics.hpp"
#include "supervisor/process_spec.hpp"

namespace cressledge::rollout {

/// The observed state of one process. The other fields are only valid if `is_reachable` is set.
struct ProcessObservation {
    bool is_reachable = false;
    supervisor::ProcessSpec active_spec;
    supervisor::ChangeStatus change_status = supervisor::ChangeStatus::none;
    /// Why the last change failed; empty if it did not.
    std::string change_error;
    supervisor::Generation serving_generation = supervisor::no_generation;
    std::uint64_t crash_count = 0;
    /// None if the process itself did not reply.
    std::optional<MetricsByClass> metrics;
    /// Digest of its membership table, equal for processes with the same view of the fleet; empty if it has none.
    std::string membership_digest;
};

/// Observations by process id.
using Observations = std::map<std::string, ProcessObservation>;

/// Returns the observation of `process_id`, or null if it is unknown or was not reachable.
inline const ProcessObservation* find_reachable(const Observations& observations,
                                                const std::string& process_id) {
    const auto found = observations.find(process_id);
    if (found == observations.end() || !found->second.is_reachable)
        return nullptr;
    return &found->second;
}

}  // namespace cressledge::rollout
