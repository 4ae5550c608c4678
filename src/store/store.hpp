// A durable log-structured key-value store: numbered generations of snapshots, and a log of the changes to the
// newest. Its functions block, and only one thread at a time may use it; AsyncWriter moves commits off the
// event loop's thread.
//
// Invariants:
// - from the first commit on, the directory contains at least one complete generation; an older one is removed
//   only when a newer one is durable
// - after open(), entries() is the state after a complete commit: the last one that returned no_error, or a
//   later one that was reported as failed; it is empty if there has been no commit
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "store/file_system.hpp"
#include "store/format.hpp"

namespace cressledge::store {

/// Limits on the files that a store keeps.
struct Limits {
    /// Once the log has this size, the next commit starts a new generation.
    std::size_t max_log_bytes = 1U << 20U;
    /// The number of generations to keep, including the newest.
    std::size_t max_generations = 3;
};

/// The store in one directory. Keeps all entries in memory.
class Store {
public:
    /// `files` must outlive the store.
    explicit Store(FileSystem& files, Limits limits = {}) : files_(files), limits_(limits) {}

    /// Takes the lock and recovers the entries. After an error the store can't be used.
    ErrorNumber open();

    /// Recovers the entries without taking the lock or changing any file; for tools.
    ErrorNumber open_read_only();

    const Entries& entries() const { return snapshot_.entries; }
    std::uint64_t generation() const { return snapshot_.generation; }
    /// The number of log records that recovery applied.
    std::size_t replayed_records() const { return replayed_records_; }
    /// The files that recovery rejected, entirely or from some record on, as "NAME: REASON".
    const std::vector<std::string>& skipped_files() const { return skipped_files_; }

    /// Applies the changes atomically; they are durable when it returns no_error. On an error entries() is
    /// unchanged. After a failed write the next commit starts a new generation, as the contents of the log are
    /// unknown. Returns EFBIG if the entries or the changes are too large.
    ErrorNumber commit(const Changes& changes);

    /// Erases all entries.
    ErrorNumber reset();

    std::uint64_t bytes_written() const { return bytes_written_; }

private:
    ErrorNumber recover();
    /// Returns the generations that have a snapshot, newest first.
    static std::vector<std::uint64_t> snapshot_generations(const std::vector<std::string>& names);
    /// Returns false, and adds to the skipped files, if the snapshot is rejected.
    bool load_generation(std::uint64_t generation);
    void apply_log(Snapshot& snapshot);

    ErrorNumber commit_as_generation(Entries entries);
    ErrorNumber commit_as_record(const Changes& changes, Entries entries);
    ErrorNumber start_generation(Entries entries);
    ErrorNumber write_snapshot(std::uint64_t generation, std::string_view bytes);
    /// Creates the log of the current generation. If that fails, the generation is still complete, and the next
    /// commit starts a new one.
    void start_log();
    ErrorNumber write_all(const std::string& name, std::string_view bytes);
    /// Removes generations beyond the limit and unfinished snapshots of a crash. Ignores failures, which only
    /// waste disk space.
    void remove_old_files();

    FileSystem& files_;
    const Limits limits_;
    /// The current generation, with its log applied.
    Snapshot snapshot_;
    /// The highest generation in any file name, whether the file is valid or not.
    std::uint64_t newest_generation_ = 0;
    LogPosition log_position_;
    std::size_t log_bytes_ = 0;
    std::size_t replayed_records_ = 0;
    bool is_log_open_ = false;
    std::vector<std::string> skipped_files_;
    std::uint64_t bytes_written_ = 0;
};

}  // namespace cressledge::store
