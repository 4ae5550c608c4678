/// What an operator asks for: a change, and the stages in which a fleet takes it. Plain values and their pure functions.
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

/// How much of the fleet has the change at the end of a stage, all earlier stages counted in.
struct RolloutStage {
    /// Fraction of the fleet, over 0 to 1; counts where `process_count` is 0.
    double fleet_fraction = 1.0;
    std::size_t process_count = 0;
};

/// The change that a rollout brings, its stages and its timing.
struct RolloutPlan {
    std::string name;
    /// An empty program or overlay leaves that of each process as it is.
    ProcessSpec target_spec;
    std::vector<RolloutStage> stages;
    /// For how long each stage is observed before it is analyzed, and the fleet before the first stage.
    Duration bake_time{30'000'000};
    /// Beyond the bake time, for a stage whose analysis is inconclusive; then the change is rolled back.
    Duration max_inconclusive_time{120'000'000};
    /// For all processes of a stage to have the change.
    Duration update_timeout{60'000'000};
    /// Processes that change at one time.
    std::size_t max_concurrent_updates = 8;
    /// Seed of the order in which processes change.
    std::uint64_t order_seed = 1;
    Tolerances tolerances;
};

/// Processes of a fleet of `fleet_size` that have the change at the end of stage `stage_index`, from 0.
std::size_t updated_count_after(const RolloutPlan& plan, std::size_t stage_index, std::size_t fleet_size);

/// The spec that a process with `original` has once it is updated.
ProcessSpec updated_spec(const RolloutPlan& plan, const ProcessSpec& original);

/// Identifies the change, its stages and their order as 16 hexadecimal digits (XXH3): a stored state belongs to one plan.
std::string compute_plan_digest(const RolloutPlan& plan);

}  // namespace cressledge::rollout
