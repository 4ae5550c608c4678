// What the next save has to write. No I/O, no clock.
#pragma once

#include <map>
#include <string>

#include "learned_state/confidence_policy.hpp"
#include "learned_state/learned_state.hpp"

namespace cressledge::learned_state {

/// Follows the completions of each class over the saves of one process. Completions of earlier processes,
/// whose estimates were restored, are added by their confidence.
class SavePlanner {
public:
    SavePlanner(Identity identity, ConfidencePolicy confidence_policy);

    /// The state that was restored from these entries at the start.
    void set_restored(const store::Entries& entries, const LearnedState& state, Timestamp now);

    /// Adds the completions of earlier processes to the estimates. Returns whether any class has completed a
    /// request since the last call: otherwise there is nothing to save, and what is saved grows old.
    bool update(Timestamp now, policy::Estimates& estimates);

    /// The changes to the store that save this state, on the assumption that they will be made.
    store::Changes changes_for(Timestamp now, policy::Estimates estimates, UpstreamStatsByName upstreams);

    /// A save has failed: what the store holds is not known, so the next save writes everything.
    void on_save_failed() { last_saved_entries_.clear(); }

private:
    const Identity identity_;
    const ConfidencePolicy confidence_policy_;
    store::Entries last_saved_entries_;
    /// Of earlier processes, by class; weighed by the confidence in them.
    std::map<std::string, double> restored_completions_;
    /// Of this process, by class.
    std::map<std::string, double> completions_at_last_update_;
    /// By class.
    std::map<std::string, Timestamp> last_completion_at_;
};

}  // namespace cressledge::learned_state
