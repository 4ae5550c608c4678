// Reads saved state back: what is refused, and how far the rest is trusted.
#pragma once

#include <vector>

#include "learned_state/confidence_policy.hpp"
#include "learned_state/learned_state.hpp"
#include "learned_state/restore_error.hpp"
#include "store/format.hpp"

namespace cressledge::learned_state {

/// What restore() made of the entries of a store.
struct RestoreResult {
    bool restored = false;
    /// If nothing was restored: why.
    RestoreRejection rejection;
    /// Entries that were not restored although the others were.
    std::vector<SkippedEntry> skipped_entries;
    /// Each estimate has its confidence.
    LearnedState state;
    /// By age alone.
    double age_confidence = 0.0;
    int stored_schema_version = schema_version;
};

/// Decodes the entries of a store. Never throws; refuses whatever is not this process's own or not plausible.
RestoreResult restore(const store::Entries& entries, const Identity& identity, Timestamp now,
                      const ConfidencePolicy& confidence_policy);

}  // namespace cressledge::learned_state
