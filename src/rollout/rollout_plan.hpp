/// The plan of a rollout as requested by an operator: a change and its stages. Values and pure functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"
#include "rollout/canary_analysis.hpp"
#include "supervisor/process_spec.hpp"

namespace cressledge::rollout {

using base::Duration;
using base::Timestamp;
using supervisor::ProcessSpec;

/// Size of the fleet with the change at the end of a stage, including all earlier stages.
struct RolloutStage {
    /// Fraction of the fleet, above 0 and at most 1; used if `process_count` is 0.
    double fleet_fraction = 1.0;
    /// Number of processes; 0 if `fleet_fraction` is used.
    std::size_t process_count = 0;
};

/// The change of a rollout, its stages and its timing.
struct RolloutPlan {
    std::string name;
    /// An empty program or overlay leaves the one of each process unchanged.
    ProcessSpec target_spec;
    std::vector<RolloutStage> stages;
    /// Time for which each stage is observed before it is analyzed, and the fleet before the first stage.
    Duration bake_time{30'000'000};
    /// Time in addition to the bake time after which a stage with an inconclusive analysis is rolled back.
    Duration max_inconclusive_time{120'000'000};
    /// Together with `max_inconclusive_time`, the time within which all processes of a stage must have the change.
    Duration update_timeout{60'000'000};
    /// Largest number of processes that are updated at the same time.
    std::size_t max_concurrent_updates = 8;
    /// Seed of the order in which processes are updated.
    std::uint64_t order_seed = 1;
    Tolerances tolerances;
};

/// Returns how many of `fleet_size` processes have the change at the end of stage `stage_index`, counted from 0.
std::size_t updated_count_after(const RolloutPlan& plan, std::size_t stage_index, std::size_t fleet_size);

/// Returns the spec of a process after its update from `original`.
ProcessSpec updated_spec(const RolloutPlan& plan, const ProcessSpec& original);

/// Returns the XXH3 hash of the change, its stages and their order as 16 hexadecimal digits. It ties a stored state
/// to its plan.
std::string compute_plan_digest(const RolloutPlan& plan);

}  // namespace cressledge::rollout
