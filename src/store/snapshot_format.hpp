// The layout of a snapshot: all entries of one generation. docs/learning.md has it byte by byte.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "store/entries.hpp"
#include "store/format_error.hpp"

namespace cressledge::store {

/// Of snapshots and logs.
constexpr std::uint32_t format_version = 1;

/// All entries of a generation.
struct Snapshot {
    /// Counts the snapshots of a store.
    std::uint64_t generation = 0;
    /// Of the header; binds a log to its snapshot.
    std::uint64_t checksum = 0;
    Entries entries;
};

/// Returns the bytes of the snapshot and sets its checksum. Nothing if a key or the whole is too large.
std::optional<std::string> encode_snapshot(Snapshot& snapshot);

/// Returns why the bytes are refused, and `snapshot` is not to be used then. Never throws, reads past its
/// input, or takes more memory than max_uncompressed_bytes allows.
std::optional<FormatError> decode_snapshot(std::string_view bytes, Snapshot& snapshot);

}  // namespace cressledge::store
