// Distinguishable states of a store, for tests.
#pragma once

#include <cstdlib>
#include <optional>
#include <string>

#include "store/store.hpp"

namespace cressledge::testing {

using store::Changes;
using store::Entries;
using store::FileSystem;
using store::Limits;
using store::Store;

/// Returns the state after this many commits. Every entry contains the number, so that a mixture of two states is
/// detected.
inline Entries state_after(int commits) {
    Entries entries;
    for (int i = 0; i < 5 && commits > 0; ++i)
        entries["k" + std::to_string(i)] = std::string(40, 'a') + std::to_string(commits);
    if (commits > 0 && commits % 3 != 0)
        entries["odd"] = std::to_string(commits);
    return entries;
}

/// Returns changes that turn `before` into `after`; unlike a difference, they also contain unchanged entries.
inline Changes changes_between(const Entries& before, const Entries& after) {
    Changes changes;
    for (const auto& [key, value] : before)
        changes[key] = std::nullopt;
    for (const auto& [key, value] : after)
        changes[key] = value;
    return changes;
}

/// Returned by commits_of() for entries that no number of commits gives.
constexpr int no_such_state = -1;

/// Returns the number of commits after which a store has these entries, or no_such_state.
inline int commits_of(const Entries& entries) {
    if (entries.empty())
        return 0;
    const auto found = entries.find("k0");
    if (found == entries.end())
        return no_such_state;
    const int commits = std::atoi(found->second.substr(40).c_str());
    return commits > 0 && entries == state_after(commits) ? commits : no_such_state;
}

/// The progress of run_commits().
struct CommitCounts {
    /// The number of the last commit that succeeded.
    int succeeded = 0;
    /// The number of the last commit that was tried.
    int tried = 0;
};

/// Limits so small that a few commits fill a log.
constexpr Limits small_limits{600, 2};

/// Opens a store and commits the states from `counts.tried` + 1 to `to` in order. Updates the counts before and
/// after each commit, so that they are right even if a system call throws.
inline void run_commits(FileSystem& files, CommitCounts& counts, int to, Limits limits = small_limits) {
    Store store(files, limits);
    if (store.open() != 0)
        return;
    for (int n = counts.tried + 1; n <= to; ++n) {
        counts.tried = n;
        if (store.commit(changes_between(store.entries(), state_after(n))) == 0)
            counts.succeeded = n;
    }
}

/// Commits the states from `from` + 1 to `to`, and returns the counts.
inline CommitCounts run_commits(FileSystem& files, int from, int to, Limits limits = small_limits) {
    CommitCounts counts{from, from};
    run_commits(files, counts, to, limits);
    return counts;
}

}  // namespace cressledge::testing
