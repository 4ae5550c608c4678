// Keys and values that last: snapshots in generations, and a log of changes to the newest. It knows nothing of what
// it keeps. Blocking, for one thread at a time; Writer puts it on another one.
//
// Invariants:
// - the folder holds, from the first commit on, at least one whole generation; an older one is removed only when
//   a newer one is durable
// - after open(), entries() is the state after some commit that was whole: the last one that returned 0, or one after
//   it whose failure was told; or empty, if there has been none
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "store/file_system.hpp"
#include "store/format.hpp"

namespace cressledge::store {

struct Limits {
    std::size_t max_log_bytes = 1U << 20U;  // a log beyond it makes way for a new generation
    std::size_t max_generations = 3;  // kept, the newest counted
};

class Store {
public:
    explicit Store(FileSystem& files, Limits limits = {}) : files_(files), limits_(limits) {}

    // Takes the lock and reads what is there. 0, or an errno: nothing can be kept here.
    int open();
    // Reads without the lock or any change, for tools. The refusals say what was passed over, and why.
    int open_read_only();
    const Entries& entries() const { return snapshot_.entries; }
    std::uint64_t generation() const { return snapshot_.generation; }
    std::size_t replayed_records() const { return replayed_records_; }  // of the log that were read
    const std::vector<std::string>& skipped_files() const { return skipped_files_; }

    // All or nothing, and durable when it returns 0. Otherwise entries() is as it was; the next one begins a new
    // generation, as nobody can tell what the failed one left behind.
    int commit(const Changes& changes);
    int reset();  // forgets all, durably

    std::uint64_t bytes_written() const { return bytes_written_; }

private:
    int recover();
    int write_all(const std::string& name, std::string_view bytes);
    int start_generation(Entries entries);
    void remove_old_files();
    static std::string file_name(const char* kind, std::uint64_t generation);

    FileSystem& files_;
    const Limits limits_;
    Snapshot snapshot_;  // with the log applied
    std::uint64_t newest_generation_ = 0;  // generation of any file seen, whole or not
    LogPosition log_position_;
    std::size_t log_bytes_ = 0, replayed_records_ = 0;
    bool is_log_open_ = false;
    std::vector<std::string> skipped_files_;
    std::uint64_t bytes_written_ = 0;
};

}  // namespace cressledge::store
