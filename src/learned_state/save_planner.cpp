#include "learned_state/save_planner.hpp"

#include <utility>

namespace cressledge::learned_state {
namespace {

/// A number of observations at which the confidence depends on age alone.
constexpr double saturating_evidence = 1e9;

}  // namespace

SavePlanner::SavePlanner(Identity identity, ConfidencePolicy confidence_policy)
    : identity_(std::move(identity)), confidence_policy_(confidence_policy) {}

void SavePlanner::set_restored(const store::Entries& entries, const LearnedState& state, Timestamp now) {
    last_saved_entries_ = entries;
    last_completion_at_ = state.last_completion_at;
    for (const auto& estimate : state.controller_state.classes) {
        const Duration age = now - state.last_completion_at.at(estimate.name);
        const double age_confidence = confidence_policy_.confidence(age, saturating_evidence);
        restored_completions_[estimate.name] = estimate.completions * age_confidence;
    }
}

bool SavePlanner::update(Timestamp now, policy::Estimates& estimates) {
    bool has_new_completions = false;
    for (auto& estimate : estimates.classes) {
        double& previous_completions = completions_at_last_update_[estimate.name];
        if (estimate.completions > previous_completions) {
            last_completion_at_[estimate.name] = now;
            has_new_completions = true;
        }
        previous_completions = estimate.completions;
        if (estimate.completions > 0.0)
            estimate.completions += restored_completions_[estimate.name];
    }
    return has_new_completions;
}

store::Changes SavePlanner::plan_save(Timestamp now, policy::Estimates estimates,
                                      UpstreamStatsByName upstreams) {
    LearnedState state;
    state.saved_at = now;
    state.controller_state = std::move(estimates);
    state.last_completion_at = last_completion_at_;
    state.upstreams = std::move(upstreams);
    store::Entries entries = to_entries(state, identity_, last_saved_entries_);
    store::Changes changes = difference(last_saved_entries_, entries);
    last_saved_entries_ = std::move(entries);
    return changes;
}

}  // namespace cressledge::learned_state
