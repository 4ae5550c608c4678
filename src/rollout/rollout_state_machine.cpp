#include "rollout/rollout_state_machine.hpp"

#include <algorithm>
#include <pcg_random.hpp>
#include <utility>

namespace cressledge::rollout {
namespace {

using nlohmann::ordered_json;
using supervisor::ChangeStatus;

/// Stream of the random generator for the update order.
constexpr std::uint64_t order_stream = 17;

/// Fisher-Yates shuffle with a generator whose sequence is the same on every platform.
void shuffle(std::vector<RolloutTarget>& targets, std::uint64_t seed) {
    pcg32 random(seed, order_stream);
    for (std::size_t i = targets.size(); i > 1; --i)
        std::swap(targets[i - 1], targets[random(static_cast<std::uint32_t>(i))]);
}

}  // namespace

RolloutStateMachine::RolloutStateMachine(const RolloutPlan& plan, const std::vector<ProcessAssignment>& fleet)
    : plan_(plan) {
    state_.name = plan.name;
    state_.plan_digest = compute_plan_digest(plan);
    for (const ProcessAssignment& process : fleet)
        state_.targets.push_back({process.process_id, process.spec, updated_spec(plan, process.spec), false});
    std::sort(state_.targets.begin(), state_.targets.end(),
              [](const RolloutTarget& a, const RolloutTarget& b) { return a.id < b.id; });
    shuffle(state_.targets, plan.order_seed);
}

RolloutStateMachine::RolloutStateMachine(const RolloutPlan& plan, RolloutState state)
    : plan_(plan), state_(std::move(state)) {
    if (state_.plan_digest != compute_plan_digest(plan))
        throw InvalidRolloutState("rollout state belongs to another plan: " + state_.name);
}

std::size_t RolloutStateMachine::updated_count_after(std::size_t stage_index) const {
    return rollout::updated_count_after(plan_, stage_index, state_.targets.size());
}

void RolloutStateMachine::request_rollback(const std::string& reason) {
    if (is_advancing(state_.phase))
        rollback_request_ = reason;
}

RolloutActions RolloutStateMachine::step(Timestamp now, const Observations& observations) {
    RolloutActions actions;
    if (!has_started_)
        begin(now, actions);
    observe(now, observations);
    if (rollback_request_ && is_advancing(state_.phase))
        start_rollback(now, *std::exchange(rollback_request_, std::nullopt), actions);
    advance(now, observations, actions);
    // No updates are sent before the state is durable.
    if (actions.must_save_state)
        actions.spec_updates.clear();
    for (const ProcessAssignment& update : actions.spec_updates)
        updates_.mark_requested(now, update.process_id);
    actions.is_finished = !actions.must_save_state && is_final(state_.phase);
    return actions;
}

void RolloutStateMachine::begin(Timestamp now, RolloutActions& actions) {
    has_started_ = true;
    phase_started_at_ = now;
    crashes_.start(now);
    // The observations of an earlier run are not part of the state, so the bake starts again.
    if (state_.phase == Phase::baking)
        next_analysis_at_ = now + plan_.bake_time;
    log_event(actions, "begin", {{"phase", to_string(state_.phase)}, {"processes", state_.targets.size()}});
    actions.must_save_state = true;
}

void RolloutStateMachine::advance(Timestamp now, const Observations& observations, RolloutActions& actions) {
    switch (state_.phase) {
        case Phase::observing:
            if (now - phase_started_at_ >= plan_.bake_time)
                enter_phase(now, Phase::updating, actions);
            break;
        case Phase::updating:
            step_updating(now, observations, actions);
            break;
        case Phase::baking:
            step_baking(now, observations, actions);
            break;
        case Phase::rolling_back:
            step_rolling_back(now, observations, actions);
            break;
        case Phase::completed:
        case Phase::rolled_back:
            break;
    }
}

void RolloutStateMachine::observe(Timestamp now, const Observations& observations) {
    crashes_.observe(now, state_, observations);
    traffic_.observe(now, state_, observations);
}

void RolloutStateMachine::enter_phase(Timestamp now, Phase phase, RolloutActions& actions) {
    state_.phase = phase;
    phase_started_at_ = now;
    updates_.reset();
    actions.must_save_state = true;
}

void RolloutStateMachine::start_rollback(Timestamp now, const std::string& reason, RolloutActions& actions) {
    state_.rollback_reason = reason;
    if (!reports_.empty() && !current_report().has_ended()) {
        current_report().verdict = CanaryVerdict::fail;
        current_report().reason = reason;
        current_report().ended_at = now;
    }
    enter_phase(now, Phase::rolling_back, actions);
    const auto updated_count = std::count_if(state_.targets.begin(), state_.targets.end(),
                                             [](const RolloutTarget& target) { return target.is_updated; });
    log_event(actions, "stop", {{"why", reason}, {"changed", updated_count}});
}

void RolloutStateMachine::step_updating(Timestamp now, const Observations& observations,
                                        RolloutActions& actions) {
    const std::size_t stage_size = updated_count_after(state_.stage_index);
    ensure_report(now);
    mark_stage_updated(stage_size, actions);
    ConcurrencySlots free_slots = plan_.max_concurrent_updates;
    std::size_t pending_count = 0;
    std::string last_pending_id;
    for (std::size_t i = 0; i < stage_size; ++i) {
        const RolloutTarget& target = state_.targets[i];
        const ProcessObservation* const observation = find_reachable(observations, target.id);
        if (observation != nullptr && observation->active_spec == target.updated_spec &&
            observation->change_status != ChangeStatus::in_progress &&
            observation->serving_generation != supervisor::no_generation)
            updates_.confirm(target.id);
        if (updates_.is_confirmed(target.id))
            continue;
        ++pending_count;
        last_pending_id = target.id;
        if (observation != nullptr && has_rejected_update(target, *observation)) {
            start_rollback(now, target.id + " failed to apply the change: " + observation->change_error,
                           actions);
            return;
        }
        request_update(now, target, target.updated_spec, observations, free_slots, actions);
    }
    if (pending_count == 0)
        start_bake(now, observations, stage_size, actions);
    else if (now - phase_started_at_ > plan_.update_timeout + plan_.max_inconclusive_time)
        start_rollback(
            now,
            std::to_string(pending_count) + " processes not updated in time (last: " + last_pending_id + ")",
            actions);
}

/// Marks all processes of the stage as updated. The marks must be durable before any process is sent its spec.
void RolloutStateMachine::mark_stage_updated(std::size_t stage_size, RolloutActions& actions) {
    for (std::size_t i = 0; i < stage_size; ++i) {
        RolloutTarget& target = state_.targets[i];
        if (target.is_updated)
            continue;
        target.is_updated = true;
        actions.must_save_state = true;
        traffic_.add_to_prior(target.id);
    }
}

bool RolloutStateMachine::has_rejected_update(const RolloutTarget& target,
                                              const ProcessObservation& observation) const {
    return observation.change_status == ChangeStatus::failed && updates_.was_requested(target.id) &&
           observation.active_spec == target.original_spec && target.original_spec != target.updated_spec;
}

void RolloutStateMachine::step_rolling_back(Timestamp now, const Observations& observations,
                                            RolloutActions& actions) {
    ConcurrencySlots free_slots = std::max<std::size_t>(plan_.max_concurrent_updates, state_.targets.size());
    std::size_t pending_count = 0;
    for (const RolloutTarget& target : state_.targets) {
        if (!target.is_updated || updates_.is_confirmed(target.id))
            continue;
        const ProcessObservation* const observation = find_reachable(observations, target.id);
        // A process with its original spec is also sent that spec once, because an earlier update may still be in
        // flight.
        if (observation != nullptr && observation->active_spec == target.original_spec &&
            observation->change_status != ChangeStatus::in_progress && updates_.was_requested(target.id)) {
            updates_.confirm(target.id);
            continue;
        }
        ++pending_count;
        request_update(now, target, target.original_spec, observations, free_slots, actions);
    }
    if (pending_count > 0)
        return;
    enter_phase(now, Phase::rolled_back, actions);
    log_event(actions, "reverted", {{"why", state_.rollback_reason}});
}

/// Uses a free slot for a reachable process that has yet to take `spec`, and sends it the spec if a request is due
/// (`UpdateTracker::is_request_due`).
void RolloutStateMachine::request_update(Timestamp now, const RolloutTarget& target, const ProcessSpec& spec,
                                         const Observations& observations, ConcurrencySlots& free_slots,
                                         RolloutActions& actions) {
    const ProcessObservation* const observation = find_reachable(observations, target.id);
    if (observation == nullptr || free_slots == 0)
        return;
    --free_slots;
    if (updates_.is_request_due(now, target.id, *observation))
        actions.spec_updates.push_back({target.id, spec});
}

/// Returns the report of the current stage; creates it if there is none.
StageReport& RolloutStateMachine::ensure_report(Timestamp now) {
    if (!reports_.empty() && current_report().stage_index == state_.stage_index)
        return current_report();
    StageReport report;
    report.stage_index = state_.stage_index;
    report.canary_count = updated_count_after(state_.stage_index);
    report.baseline_count = state_.targets.size() - report.canary_count;
    report.started_at = now;
    return reports_.emplace_back(std::move(report));
}

void RolloutStateMachine::log_event(RolloutActions& actions, const char* event,
                                    const ordered_json& fields) const {
    ordered_json line = {{"roll", state_.name}, {"what", event}, {"stage", state_.stage_index}};
    for (const auto& [key, value] : fields.items())
        line[key] = value;
    actions.log_lines.push_back(line.dump());
}

}  // namespace cressledge::rollout
