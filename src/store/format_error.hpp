// The errors that a store's files can have.
#pragma once

#include <cstdint>

namespace cressledge::store {

/// Why a snapshot, a log or a record of a log is rejected.
enum class FormatError : std::uint8_t {
    not_a_snapshot,
    truncated,
    corrupt_header,
    unsupported_version,
    too_large,
    wrong_length,
    corrupt_body,
    not_decompressible,
    corrupt_entry,
    duplicate_entry,
    /// The generation in the header differs from the one in the file name.
    wrong_generation,
    /// The log belongs to another snapshot.
    wrong_snapshot,
    truncated_record,
    corrupt_record,
    record_not_decompressible
};

/// Returns a short description, for log lines and for the operator's check of a store.
const char* to_string(FormatError error);

}  // namespace cressledge::store
