// Why a file of a store is refused, in whole or from some record on.
#pragma once

#include <cstdint>

namespace cressledge::store {

/// Why a snapshot, a log or one of its records is refused.
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
    /// The header has another generation than the name of the file.
    wrong_generation,
    /// The log belongs to another snapshot.
    wrong_snapshot,
    truncated_record,
    corrupt_record,
    record_not_decompressible
};

/// A phrase for log lines and for the operator's check of a store.
const char* to_string(FormatError error);

}  // namespace cressledge::store
