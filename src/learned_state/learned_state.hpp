// The estimates that survive a restart, and their form in a store. No I/O: entries of a store come in and go
// out, and time is an argument. docs/learning.md has the reasons.
#pragma once

#include <map>
#include <string>

#include "learned_state/upstream_stats.hpp"
#include "policy/admission_controller.hpp"
#include "store/format.hpp"

namespace cressledge::learned_state {

/// The version that is written. Version 1 had no run time of a class and one time for all entries; it is
/// migrated.
constexpr int schema_version = 2;

/// Whose state it is; state of another is refused.
struct Identity {
    /// Name of this process among the others of its site.
    std::string node;
    /// The request classes with their rules, and the kind of the dependency.
    std::string settings_fingerprint;
    int cores = 0;
};
Identity identity_of(const std::string& node, const policy::Settings& settings);

/// The estimates of one process at a time, as they are saved and restored.
struct LearnedState {
    Timestamp saved_at{0};
    policy::Estimates controller_state;
    /// By request class.
    std::map<std::string, Timestamp> last_completion_at;
    UpstreamStatsByName upstreams;
};

/// The state as entries of a store. A class without a completion since the start keeps its entry of
/// `previous_entries`, and with it its age.
store::Entries to_entries(const LearnedState& state, const Identity& identity,
                          const store::Entries& previous_entries);

/// The changes after which a store with the entries `before` has the entries `after`.
store::Changes difference(const store::Entries& before, const store::Entries& after);

/// All entries as JSON text, for an operator to read. An entry that can't be decoded says so.
std::string to_json(const store::Entries& entries);

}  // namespace cressledge::learned_state
