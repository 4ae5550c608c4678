// The reasons why saved learned state, or one of its entries, is not restored.
#pragma once

#include <cstdint>
#include <string>

namespace cressledge::learned_state {

/// Why no saved state at all was restored.
enum class RejectionCause {
    /// The store's directory could not be opened or locked.
    store_unavailable,
    /// The store holds no entries.
    nothing_saved,
    /// The header entry is missing, is not a CBOR object, or a field is missing or out of range.
    unreadable_header,
    /// The schema version of the state is newer than this process supports.
    newer_schema,
    /// The state was saved by another node.
    other_node,
    /// The state was saved with other request classes, rules of a class or kind of dependency.
    other_settings,
    /// The state was learned with another number of cores.
    other_core_count,
    /// The state was saved more than max_clock_skew in the future.
    from_the_future,
    /// The state is older than the confidence policy's maximum age.
    too_old,
};

/// Why no saved state was restored, and the stored value that caused it.
struct RestoreRejection {
    RejectionCause cause = RejectionCause::nothing_saved;
    /// The stored schema version for `newer_schema`, the stored core count for `other_core_count`, the age
    /// in whole hours for `too_old`; 0 otherwise.
    std::int64_t stored_value = 0;
    /// The node that saved the state, for `other_node`; empty otherwise.
    std::string other_node;
};

/// Returns the reason as in the log line "learned_state: cold start", for example "saved by another node: n3".
std::string to_string(const RestoreRejection& rejection);

/// An entry that was not restored while others were: it is not a CBOR object, its type is unknown, a field is
/// missing or out of range, or there are too many entries of its type.
struct SkippedEntry {
    /// The entry's key in the store.
    std::string key;

    bool operator==(const SkippedEntry&) const = default;
};

/// Returns the text for the log line "learned_state: entry skipped": "KEY: malformed or out of range".
std::string to_string(const SkippedEntry& entry);

}  // namespace cressledge::learned_state
