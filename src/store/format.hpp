// The layout of a store's files (docs/learning.md has it byte by byte). No I/O. Reading refuses whatever it cannot
// vouch for: nothing here throws, reads past its input, or takes more memory than the bounds say.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cressledge::store {

using Entries = std::map<std::string, std::string>;
using Changes = std::map<std::string, std::optional<std::string>>;  // no value: erased

constexpr std::uint32_t format_version = 1;
constexpr std::size_t most_raw = 4U << 20U;  // bytes of all entries, and of one record's changes
constexpr std::size_t most_key = 4096;

struct Snapshot {
    std::uint64_t generation = 0, sum = 0;  // the sum binds a log to its snapshot
    Entries entries;
};
// `to.sum` is set. Empty: too large.
std::string encode_snapshot(Snapshot& to);
// False: refused, and `why` says so in one phrase; `to` is not to be used.
bool decode_snapshot(std::string_view bytes, Snapshot& to, std::string& why);

struct LogEnd {  // where the next record goes
    std::uint64_t number = 0, sum = 0;
};
std::string encode_log_head(std::uint64_t generation, std::uint64_t snapshot_sum, LogEnd& end);
std::string encode_record(const Changes& changes, LogEnd& end);  // empty: too large, and `end` is as it was

struct LogRead {
    std::size_t records = 0;  // whole ones, applied
    bool clean = true;  // nothing stands after them
    std::string why;  // not clean: why reading stopped
};
// Applies the whole records of the log to the snapshot's entries, up to the first that does not fit.
LogRead read_log(std::string_view bytes, Snapshot& snapshot);

}  // namespace cressledge::store
