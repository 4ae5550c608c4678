// The layout of a log: the changes since its snapshot, one record for each commit. A record is bound to its
// place by a checksum that is seeded with that of the record before. docs/learning.md has the layout byte by
// byte.
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

/// The end of a log, where the next record goes.
struct LogPosition {
    /// Of the last record; 0: there is none.
    std::uint64_t record_number = 0;
    /// Of the last record, or of the header.
    std::uint64_t checksum = 0;
};

/// Sets `position` to the end of the header.
std::string encode_log_header(std::uint64_t generation, std::uint64_t snapshot_checksum,
                              LogPosition& position);

/// Moves `position` behind the record. Nothing, with `position` unchanged, if the changes are too large.
std::optional<std::string> encode_log_record(const Changes& changes, LogPosition& position);

/// How far a log could be read.
struct LogReplay {
    /// Whole records, whose changes have been applied.
    std::size_t replayed_records = 0;
    /// Why the rest of the log was not read.
    std::optional<FormatError> error;
};

/// Applies the records of the log to the snapshot's entries, up to the first that does not fit. A record is
/// applied whole or not at all. Never throws, reads past its input, or takes more memory than
/// max_uncompressed_bytes allows.
LogReplay replay_log(std::string_view bytes, Snapshot& snapshot);

}  // namespace cressledge::store
