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

#include "store/files.hpp"
#include "store/format.hpp"

namespace cressledge::store {

struct Limits {
    std::size_t log_bytes = 1U << 20U;  // a log beyond it makes way for a new generation
    std::size_t generations = 3;  // kept, the newest counted
};

class Store {
public:
    explicit Store(Files& files, Limits limits = {}) : files_(files), limits_(limits) {}

    // Takes the lock and reads what is there. 0, or an errno: nothing can be kept here.
    int open();
    // Reads without the lock or any change, for tools. The refusals say what was passed over, and why.
    int look();
    const Entries& entries() const { return state_.entries; }
    std::uint64_t generation() const { return state_.generation; }
    std::size_t records() const { return records_; }  // of the log that were read
    const std::vector<std::string>& refusals() const { return refusals_; }

    // All or nothing, and durable when it returns 0. Otherwise entries() is as it was; the next one begins a new
    // generation, as nobody can tell what the failed one left behind.
    int commit(const Changes& changes);
    int reset();  // forgets all, durably

    std::uint64_t bytes_written() const { return bytes_written_; }

private:
    int recover();
    int write_all(const std::string& name, std::string_view bytes);
    int new_generation(Entries entries);
    void tidy();
    static std::string name(const char* what, std::uint64_t generation);

    Files& files_;
    const Limits limits_;
    Snapshot state_;  // with the log applied
    std::uint64_t newest_ = 0;  // generation of any file seen, whole or not
    LogEnd end_;
    std::size_t log_bytes_ = 0, records_ = 0;
    bool log_open_ = false;
    std::vector<std::string> refusals_;
    std::uint64_t bytes_written_ = 0;
};

}  // namespace cressledge::store
