/// Which processes were sent a spec in the current phase of a rollout, and which of them have it. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>

#include "rollout/process_observation.hpp"

namespace cressledge::rollout {

/// Tracks the updates of one phase, by process id.
class UpdateTracker {
public:
    /// Forgets everything; a phase begins.
    void reset();

    /// The process was seen to have what the phase asks for. It counts for the rest of the phase: observations get lost,
    /// so that hundreds of processes are hardly ever seen to have it at one moment.
    void confirm(const std::string& process_id) { confirmed_.insert(process_id); }
    /// Whether the process was seen to have its spec in this phase.
    bool is_confirmed(const std::string& process_id) const { return confirmed_.contains(process_id); }

    /// The process was sent its spec at `now`.
    void mark_requested(Timestamp now, const std::string& process_id) { requested_at_[process_id] = now; }
    /// Whether the process was sent its spec in this phase.
    bool was_requested(const std::string& process_id) const { return requested_at_.contains(process_id); }

    /// Whether the process is to be sent its spec: it is not changing, and was not sent it a moment ago.
    bool is_request_due(Timestamp now, const std::string& process_id,
                        const ProcessObservation& observation) const;

private:
    /// When each process was last sent its spec.
    std::map<std::string, Timestamp> requested_at_;
    std::set<std::string> confirmed_;
};

}  // namespace cressledge::rollout
