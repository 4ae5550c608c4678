/// Tracks which processes were sent a spec in the current phase of a rollout and which of them have it. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>

#include "rollout/process_observation.hpp"

namespace cressledge::rollout {

/// The requested and confirmed updates of one phase, by process id.
class UpdateTracker {
public:
    /// Clears everything; called when a phase begins.
    void reset();

    /// Records that the process was observed with the spec of the phase. The confirmation holds for the rest of the
    /// phase: observations get lost, so hundreds of processes are rarely all observed with their spec at the same time.
    void confirm(const std::string& process_id) { confirmed_.insert(process_id); }
    /// Whether the process was observed with its spec in this phase.
    bool is_confirmed(const std::string& process_id) const { return confirmed_.contains(process_id); }

    /// Records that the process was sent its spec at `now`.
    void mark_requested(Timestamp now, const std::string& process_id) { requested_at_[process_id] = now; }
    /// Whether the process was sent its spec in this phase.
    bool was_requested(const std::string& process_id) const { return requested_at_.contains(process_id); }

    /// Whether the process is to be sent its spec: no change is in progress, and the last request was not too recent.
    bool is_request_due(Timestamp now, const std::string& process_id,
                        const ProcessObservation& observation) const;

private:
    /// Time at which each process was last sent its spec.
    std::map<std::string, Timestamp> requested_at_;
    std::set<std::string> confirmed_;
};

}  // namespace cressledge::rollout
