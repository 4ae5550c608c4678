// The typed reasons why saved learned state, or one of its entries, is not restored.
#pragma once

#include <cstdint>
#include <string>

namespace cressledge::learned_state {

/// Why no saved state at all was restored.
enum class RejectionCause {
    /// The store's directory could not be opened or locked.
    no_directory,
    /// The store holds no entries.
    nothing_saved,
    /// The header entry is missing, is no CBOR object, or lacks a field.
    unreadable_header,
    /// The state was written by a newer schema version than this process knows.
    newer_schema,
    /// The state was saved by another node.
    other_node,
    /// The state was saved with other request classes or latency objectives.
    other_settings,
    /// The state was learned with another number of cores.
    other_core_count,
    /// The state was saved further in the future than the clocks may differ.
    from_the_future,
    /// The state is older than the confidence policy's maximum age.
    too_old,
};

/// Why no saved state was restored, with what shows it.
struct RestoreRejection {
    RejectionCause cause = RejectionCause::nothing_saved;
    /// The stored schema version for `newer_schema`, the stored core count for `other_core_count`, the age
    /// in whole hours for `too_old`; 0 otherwise.
    std::int64_t stored_value = 0;
    /// The node that saved the state, for `other_node`; empty otherwise.
    std::string other_node;
};

/// The reason as the log line "learned_state: cold start" writes it, for example "another node's: n3".
std::string to_string(const RestoreRejection& rejection);

/// An entry that was not restored although the others were: it is no CBOR object, its kind is unknown, or a
/// field is missing or out of range.
struct SkippedEntry {
    /// The entry's key in the store.
    std::string key;

    bool operator==(const SkippedEntry&) const = default;
};

/// The entry as the log line "learned_state: entry skipped" writes it: "KEY: not what it should be".
std::string to_string(const SkippedEntry& entry);

}  // namespace cressledge::learned_state
