// The format of a log: the changes since its snapshot, one record per commit. Each record's checksum is seeded
// with that of the preceding record, so a record is valid in one place only. docs/learning.md specifies the
// format byte by byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "store/entries.hpp"
#include "store/format_error.hpp"
#include "store/snapshot_format.hpp"

namespace cressledge::store {

/// The end of a log, where the next record is appended.
struct LogPosition {
    /// The number of the last record; 0 if the log has none.
    std::uint64_t record_number = 0;
    /// The checksum of the last record, or of the header if there is no record.
    std::uint64_t checksum = 0;
};

/// Returns the bytes of a log header and sets `position` to its end.
std::string encode_log_header(std::uint64_t generation, std::uint64_t snapshot_checksum,
                              LogPosition& position);

/// Returns the bytes of the next record and moves `position` to its end. Returns std::nullopt, with `position`
/// unchanged, if the changes are too large or compression fails.
std::optional<std::string> encode_log_record(const Changes& changes, LogPosition& position);

/// The result of replaying a log.
struct LogReplay {
    /// The number of records that were applied.
    std::size_t replayed_records = 0;
    /// Why replay stopped before the end of the log, if it did.
    std::optional<FormatError> error;
};

/// Applies the records of the log to the snapshot's entries, up to the first invalid one. Each record is
/// applied entirely or not at all. Never throws, never reads past its input, and bounds its memory by
/// max_uncompressed_bytes.
LogReplay replay_log(std::string_view bytes, Snapshot& snapshot);

}  // namespace cressledge::store
