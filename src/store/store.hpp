// A durable key-value store: snapshots in generations, and a log of changes to the newest. It knows nothing
// of what it holds. Blocking, and for one thread at a time; AsyncWriter has it run on another thread.
//
// Invariants:
// - from the first commit on the directory holds at least one whole generation; an older one is removed only
//   when a newer one is durable
// - after open(), entries() is the state after some whole commit: the last one that returned no_error, or a
//   later one whose failure was reported; or it is empty, if there has been none
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "store/file_system.hpp"
#include "store/format.hpp"

namespace cressledge::store {

/// Bounds of the files that a store keeps.
struct Limits {
    /// A log of this size is followed by a new generation.
    std::size_t max_log_bytes = 1U << 20U;
    /// Generations that are kept, the newest included.
    std::size_t max_generations = 3;
};

/// The entries of one directory, and the files that hold them.
class Store {
public:
    /// `files` must outlive the store.
    explicit Store(FileSystem& files, Limits limits = {}) : files_(files), limits_(limits) {}

    /// Takes the lock and reads what is there. An error: nothing can be stored here.
    ErrorNumber open();

    /// Reads without the lock and changes nothing; for tools.
    ErrorNumber open_read_only();

    const Entries& entries() const { return snapshot_.entries; }
    std::uint64_t generation() const { return snapshot_.generation; }
    /// Records of the log that were read.
    std::size_t replayed_records() const { return replayed_records_; }
    /// Files that were refused in whole or in part, each with the reason.
    const std::vector<std::string>& skipped_files() const { return skipped_files_; }

    /// All or nothing, and durable when it returns no_error. Otherwise entries() is as it was, and the next
    /// commit starts a new generation, as nobody can tell what the failed one left behind. EFBIG: the entries
    /// are too large.
    ErrorNumber commit(const Changes& changes);

    /// Erases all entries.
    ErrorNumber reset();

    std::uint64_t bytes_written() const { return bytes_written_; }

private:
    ErrorNumber recover();
    /// The generations that have a snapshot, the newest first.
    static std::vector<std::uint64_t> snapshot_generations(const std::vector<std::string>& names);
    /// Returns false, and adds to the skipped files, if the snapshot is refused.
    bool load_generation(std::uint64_t generation);
    void replay_log_of(Snapshot& snapshot);

    ErrorNumber commit_as_generation(Entries entries);
    ErrorNumber commit_as_record(const Changes& changes, Entries entries);
    ErrorNumber start_generation(Entries entries);
    ErrorNumber write_snapshot(std::uint64_t generation, std::string_view bytes);
    /// Without a log the generation is whole all the same, and the next commit starts another.
    void start_log();
    ErrorNumber write_all(const std::string& name, std::string_view bytes);
    /// Older generations, and what a crash has left. Failures cost room, not safety.
    void remove_old_files();

    FileSystem& files_;
    const Limits limits_;
    /// With its log applied.
    Snapshot snapshot_;
    /// Of any file seen, whole or not.
    std::uint64_t newest_generation_ = 0;
    LogPosition log_position_;
    std::size_t log_bytes_ = 0;
    std::size_t replayed_records_ = 0;
    bool is_log_open_ = false;
    std::vector<std::string> skipped_files_;
    std::uint64_t bytes_written_ = 0;
};

}  // namespace cressledge::store
