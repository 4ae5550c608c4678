#include "store/format_error.hpp"

namespace cressledge::store {

const char* to_string(FormatError error) {
    switch (error) {
        case FormatError::not_a_snapshot:
            return "not a snapshot";
        case FormatError::truncated:
            return "truncated";
        case FormatError::corrupt_header:
            return "corrupt header";
        case FormatError::unsupported_version:
            return "unsupported format version";
        case FormatError::too_large:
            return "too large";
        case FormatError::wrong_length:
            return "length differs from the header";
        case FormatError::corrupt_body:
            return "corrupt body";
        case FormatError::not_decompressible:
            return "body cannot be decompressed";
        case FormatError::corrupt_entry:
            return "corrupt entry";
        case FormatError::duplicate_entry:
            return "duplicate entry";
        case FormatError::wrong_generation:
            return "generation differs from the file name";
        case FormatError::wrong_snapshot:
            return "log belongs to another snapshot";
        case FormatError::truncated_record:
            return "truncated record";
        case FormatError::corrupt_record:
            return "corrupt record";
        case FormatError::record_not_decompressible:
            return "record cannot be decompressed";
    }
    return "unknown";
}

}  // namespace cressledge::store
