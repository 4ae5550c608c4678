#include "rollout/rollout_state.hpp"

#include <array>

namespace cressledge::rollout {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;
using supervisor::ProcessSpec;

constexpr int format_version = 1;

struct PhaseName {
    Phase phase;
    const char* name;
};

constexpr std::array<PhaseName, 6> phase_names{{
    {Phase::observing, "watching"},
    {Phase::updating, "changing"},
    {Phase::baking, "baking"},
    {Phase::completed, "done"},
    {Phase::rolling_back, "reverting"},
    {Phase::rolled_back, "reverted"},
}};

Phase parse_phase(const std::string& name) {
    for (const PhaseName& entry : phase_names) {
        if (name == entry.name)
            return entry.phase;
    }
    throw InvalidRolloutState("rollout state: unknown phase: " + name);
}

ordered_json spec_to_json(const ProcessSpec& spec) {
    return {{"program", spec.program}, {"overlay", spec.overlay}};
}

ProcessSpec spec_from_json(const json& stored) {
    return {stored.at("program").get<std::string>(), stored.at("overlay").get<std::string>()};
}

ordered_json target_to_json(const RolloutTarget& target) {
    return {{"id", target.id},
            {"before", spec_to_json(target.original_spec)},
            {"after", spec_to_json(target.updated_spec)},
            {"changed", target.is_updated}};
}

RolloutTarget target_from_json(const json& stored) {
    return {stored.at("id"), spec_from_json(stored.at("before")), spec_from_json(stored.at("after")),
            stored.at("changed")};
}

}  // namespace

const char* to_string(Phase phase) {
    return phase_names[static_cast<std::size_t>(phase)].name;
}

bool is_advancing(Phase phase) {
    return phase == Phase::observing || phase == Phase::updating || phase == Phase::baking;
}

bool is_final(Phase phase) {
    return phase == Phase::completed || phase == Phase::rolled_back;
}

ordered_json to_json(const RolloutState& state) {
    ordered_json targets = ordered_json::array();
    for (const RolloutTarget& target : state.targets)
        targets.push_back(target_to_json(target));
    return {{"version", format_version},       {"name", state.name},         {"digest", state.plan_digest},
            {"phase", to_string(state.phase)}, {"stage", state.stage_index}, {"why", state.rollback_reason},
            {"members", std::move(targets)}};
}

RolloutState from_json(const json& stored) {
    try {
        if (stored.at("version") != format_version)
            throw InvalidRolloutState("rollout state: unsupported version");
        RolloutState state;
        state.name = stored.at("name");
        state.plan_digest = stored.at("digest");
        state.stage_index = stored.at("stage");
        state.rollback_reason = stored.at("why");
        state.phase = parse_phase(stored.at("phase"));
        for (const auto& target : stored.at("members"))
            state.targets.push_back(target_from_json(target));
        return state;
    } catch (const nlohmann::json::exception& error) {
        throw InvalidRolloutState(std::string("rollout state: ") + error.what());
    }
}

}  // namespace cressledge::rollout
