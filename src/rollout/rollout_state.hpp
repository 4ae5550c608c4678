/// What a rollout must not lose: its phase, its stage, and for each process the spec before and after. The stored form is
/// JSON; its words are read and written here alone.
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

/// The word for `phase` in stored states, reports and log lines.
const char* to_string(Phase phase);

/// Whether `phase` is one in which the change may still be rolled back on request.
bool is_advancing(Phase phase);

/// Whether `phase` is one of the two last ones.
bool is_final(Phase phase);

/// One process of the fleet.
struct RolloutTarget {
    std::string id;
    supervisor::ProcessSpec original_spec;
    supervisor::ProcessSpec updated_spec;
    /// Whether it has, or is to have, the updated spec. It stays set while the change is rolled back.
    bool is_updated = false;
};

/// The durable state of a rollout; every step of `RolloutStateMachine` continues from it.
struct RolloutState {
    std::string name;
    /// Digest of the plan; another plan does not continue from this state.
    std::string plan_digest;
    Phase phase = Phase::observing;
    std::size_t stage_index = 0;
    /// Why the change is, or was, rolled back; empty otherwise.
    std::string rollback_reason;
    /// In the order in which they are updated.
    std::vector<RolloutTarget> targets;
};

/// A stored state that cannot be read, or that does not belong to the plan.
class InvalidRolloutState : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// The stored form.
nlohmann::ordered_json to_json(const RolloutState& state);

/// Throws `InvalidRolloutState`.
RolloutState from_json(const nlohmann::json& stored);

}  // namespace cressledge::rollout
