/// The durable state of a rollout: its phase, its stage, and the original and updated spec of each process. It is
/// stored as JSON; only this module reads and writes the keys and values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "supervisor/process_spec.hpp"

namespace cressledge::rollout {

/// Phases of a rollout; see `RolloutStateMachine` for the transitions.
enum class Phase : std::uint8_t { observing, updating, baking, completed, rolling_back, rolled_back };

/// Returns the name of `phase` in stored states, reports and log lines.
const char* to_string(Phase phase);

/// Whether the change can be rolled back on request in `phase`.
bool is_advancing(Phase phase);

/// Whether the rollout has finished in `phase`: it is completed or rolled back.
bool is_final(Phase phase);

/// One process of the fleet with its spec before and after the update.
struct RolloutTarget {
    std::string id;
    supervisor::ProcessSpec original_spec;
    supervisor::ProcessSpec updated_spec;
    /// Whether the process has the updated spec or is to receive it. Remains set while the change is rolled back.
    bool is_updated = false;
};

/// The durable state of a rollout, from which `RolloutStateMachine` can continue after any step.
struct RolloutState {
    std::string name;
    /// Digest of the plan that the state belongs to (`compute_plan_digest`).
    std::string plan_digest;
    Phase phase = Phase::observing;
    std::size_t stage_index = 0;
    /// Why the change is being or was rolled back; empty otherwise.
    std::string rollback_reason;
    /// All processes of the fleet, in the order in which they are updated.
    std::vector<RolloutTarget> targets;
};

/// Thrown for a stored state that cannot be parsed or belongs to another plan.
class InvalidRolloutState : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Returns the stored form of `state`.
nlohmann::ordered_json to_json(const RolloutState& state);

/// Parses the stored form. Throws `InvalidRolloutState`.
RolloutState from_json(const nlohmann::json& stored);

}  // namespace cressledge::rollout
