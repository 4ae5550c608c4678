/// What was seen of the processes of a fleet at one moment.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "rollout/class_metrics.hpp"
#include "supervisor/process_spec.hpp"

namespace cressledge::rollout {

/// One process. Where it is not reachable nothing else counts.
struct ProcessObservation {
    bool is_reachable = false;
    supervisor::ProcessSpec active_spec;
    supervisor::ChangeStatus change_status = supervisor::ChangeStatus::none;
    /// Why the last change failed.
    std::string change_error;
    supervisor::Generation serving_generation = supervisor::no_generation;
    std::uint64_t crash_count = 0;
    /// None where the process itself did not answer.
    std::optional<MetricsByClass> metrics;
    /// Digest of its membership table; empty: it has none. Processes that see one fleet have one digest.
    std::string membership_digest;
};

/// By the id of the process.
using Observations = std::map<std::string, ProcessObservation>;

/// The observation of `process_id`, or null where it was not reached.
inline const ProcessObservation* find_reachable(const Observations& observations,
                                                const std::string& process_id) {
    const auto found = observations.find(process_id);
    if (found == observations.end() || !found->second.is_reachable)
        return nullptr;
    return &found->second;
}

}  // namespace cressledge::rollout
