// The format of a snapshot: all entries of one generation. docs/learning.md specifies it byte by byte.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "store/entries.hpp"
#include "store/format_error.hpp"

namespace cressledge::store {

/// The format version of snapshots and logs.
constexpr std::uint32_t format_version = 1;

/// All entries of a generation.
struct Snapshot {
    /// Increases with each snapshot of a store.
    std::uint64_t generation = 0;
    /// The checksum of the header; a log's header repeats it to identify the log's snapshot.
    std::uint64_t checksum = 0;
    Entries entries;
};

/// Returns the bytes of the snapshot and sets its checksum. Returns std::nullopt if a key or all entries
/// together are too large, or compression fails.
std::optional<std::string> encode_snapshot(Snapshot& snapshot);

/// Decodes a snapshot. Returns an error if the bytes are invalid; `snapshot` must not be used then. Never
/// throws, never reads past its input, and bounds its memory by max_uncompressed_bytes.
std::optional<FormatError> decode_snapshot(std::string_view bytes, Snapshot& snapshot);

}  // namespace cressledge::store
