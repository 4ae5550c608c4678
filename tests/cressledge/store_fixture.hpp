// States of a store that can be told apart, for tests.
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

/// The state after so many commits. Every entry says which, so that a mixture of two states would show.
inline Entries state_after(int commits) {
    Entries entries;
    for (int i = 0; i < 5 && commits > 0; ++i)
        entries["k" + std::to_string(i)] = std::string(40, 'a') + std::to_string(commits);
    if (commits > 0 && commits % 3 != 0)
        entries["odd"] = std::to_string(commits);
    return entries;
}

inline Changes changes_between(const Entries& before, const Entries& after) {
    Changes changes;
    for (const auto& [key, value] : before)
        changes[key] = std::nullopt;
    for (const auto& [key, value] : after)
        changes[key] = value;
    return changes;
}

constexpr int no_such_state = -1;

/// The number of commits after which the entries were the store's state.
inline int commits_of(const Entries& entries) {
    if (entries.empty())
        return 0;
    const auto found = entries.find("k0");
    if (found == entries.end())
        return no_such_state;
    const int commits = std::atoi(found->second.substr(40).c_str());
    return commits > 0 && entries == state_after(commits) ? commits : no_such_state;
}

struct CommitCounts {
    /// The last commit that succeeded.
    int succeeded = 0;
    /// The last commit that was tried.
    int tried = 0;
};

constexpr Limits small_limits{600, 2};

/// Opens a store and commits one state after the other, from the one after `counts.tried` on. Counts as it
/// goes, so that the counts are right even if a system call throws.
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

inline CommitCounts run_commits(FileSystem& files, int from, int to, Limits limits = small_limits) {
    CommitCounts counts{from, from};
    run_commits(files, counts, to, limits);
    return counts;
}

}  // namespace cressledge::testing
