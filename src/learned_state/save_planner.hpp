// Computes the changes that the next save writes. Does no I/O and reads no clock.
#pragma once

#include <map>
#include <string>

#include "learned_state/confidence_policy.hpp"
#include "learned_state/learned_state.hpp"

namespace cressledge::learned_state {

/// Tracks the completions of each class between the saves of one process. Adds the restored completions of earlier
/// processes, weighted by the confidence in them.
class SavePlanner {
public:
    SavePlanner(Identity identity, ConfidencePolicy confidence_policy);

    /// Sets the state that was restored at the start, and the entries it was decoded from.
    void set_restored(const store::Entries& entries, const LearnedState& state, Timestamp now);

    /// Adds the completions of earlier processes to the estimates. Returns whether any class has completed a
    /// request since the last call. If none has, there is nothing to save, and the saved state keeps ageing.
    bool update(Timestamp now, policy::Estimates& estimates);

    /// Returns the changes that save this state to the store. The caller must commit them, and call
    /// on_save_failed() if that fails: the next plan is based on them.
    store::Changes plan_save(Timestamp now, policy::Estimates estimates, UpstreamStatsByName upstreams);

    /// Makes the next save write all entries, as the store's contents are unknown after a failed save.
    void on_save_failed() { last_saved_entries_.clear(); }

private:
    const Identity identity_;
    const ConfidencePolicy confidence_policy_;
    store::Entries last_saved_entries_;
    /// Completions of earlier processes by class, weighted by the confidence in them.
    std::map<std::string, double> restored_completions_;
    /// Completions of this process by class.
    std::map<std::string, double> completions_at_last_update_;
    /// The time of the last completion, by class.
    std::map<std::string, Timestamp> last_completion_at_;
};

}  // namespace cressledge::learned_state
