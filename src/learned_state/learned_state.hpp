// The estimates that survive a restart, and their encoding as entries of a store. Does no I/O and reads no
// clock. docs/learning.md has the reasons for the format.
#pragma once

#include <map>
#include <string>

#include "learned_state/upstream_stats.hpp"
#include "policy/admission_controller.hpp"
#include "store/format.hpp"

namespace cressledge::learned_state {

/// The schema version that is written. Version 1, which is migrated, had no run time per class and a single
/// time for all entries.
constexpr int schema_version = 2;

/// Identifies the process that saved a state; state with another identity is rejected.
struct Identity {
    /// The name of this process, unique in its site.
    std::string node;
    /// The request classes with idempotency, latency objective and answer deadline, and the kind of the
    /// dependency.
    std::string settings_fingerprint;
    int cores = 0;
};

/// Returns the identity of a process with this name and these settings.
Identity identity_of(const std::string& node, const policy::Settings& settings);

/// The estimates of one process at a point in time, as saved and restored.
struct LearnedState {
    Timestamp saved_at{0};
    policy::Estimates controller_state;
    /// The time of the last completion, by request class.
    std::map<std::string, Timestamp> last_completion_at;
    UpstreamStatsByName upstreams;
};

/// Encodes the state as entries of a store. A class without a completion since the start of the process keeps
/// its entry in `previous_entries`, and so its age.
store::Entries to_entries(const LearnedState& state, const Identity& identity,
                          const store::Entries& previous_entries);

/// Returns the changes that turn the entries `before` into the entries `after`.
store::Changes difference(const store::Entries& before, const store::Entries& after);

/// Returns all entries as JSON text for an operator. The value of an entry that can't be decoded is the text
/// "cannot be read".
std::string to_json(const store::Entries& entries);

}  // namespace cressledge::learned_state
