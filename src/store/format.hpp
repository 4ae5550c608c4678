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
constexpr std::size_t max_uncompressed_bytes = 4U
                                               << 20U;  // bytes of all entries, and of one record's changes
constexpr std::size_t max_key_bytes = 4096;

struct Snapshot {
    std::uint64_t generation = 0, checksum = 0;  // the sum binds a log to its snapshot
    Entries entries;
};
// `to.sum` is set. Empty: too large.
std::string encode_snapshot(Snapshot& to);
// False: refused, and `why` says so in one phrase; `to` is not to be used.
bool decode_snapshot(std::string_view bytes, Snapshot& to, std::string& error);

struct LogPosition {  // where the next record goes
    std::uint64_t record_number = 0, checksum = 0;
};
std::string encode_log_header(std::uint64_t generation, std::uint64_t snapshot_checksum,
                              LogPosition& position);
std::string encode_log_record(const Changes& changes,
                              LogPosition& position);  // empty: too large, and `end` is as it was

struct LogReplay {
    std::size_t replayed_records = 0;  // whole ones, applied
    bool is_complete = true;  // nothing stands after them
    std::string error;  // not clean: why reading stopped
};
// Applies the whole records of the log to the snapshot's entries, up to the first that does not fit.
LogReplay replay_log(std::string_view bytes, Snapshot& snapshot);

}  // namespace cressledge::store
