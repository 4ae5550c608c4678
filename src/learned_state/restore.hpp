// Restores saved state: rejects invalid or foreign state and computes the confidence in each estimate.
#pragma once

#include <vector>

#include "learned_state/confidence_policy.hpp"
#include "learned_state/learned_state.hpp"
#include "learned_state/restore_error.hpp"
#include "store/format.hpp"

namespace cressledge::learned_state {

/// The result of restore().
struct RestoreResult {
    bool restored = false;
    /// Why nothing was restored; only valid if `restored` is false.
    RestoreRejection rejection;
    /// The entries that could not be restored, while the others were.
    std::vector<SkippedEntry> skipped_entries;
    /// The restored state; each estimate carries its confidence.
    LearnedState state;
    /// The confidence by the age of the state alone, from 0 to 1.
    double age_confidence = 0.0;
    int stored_schema_version = schema_version;
};

/// Decodes the entries of a store. Never throws. Rejects state of another identity, in the future or too old, and
/// skips malformed entries.
RestoreResult restore(const store::Entries& entries, const Identity& identity, Timestamp now,
                      const ConfidencePolicy& confidence_policy);

}  // namespace cressledge::learned_state
