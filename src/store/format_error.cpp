#include "store/format_error.hpp"

namespace cressledge::store {

const char* to_string(FormatError error) {
    switch (error) {
        case FormatError::not_a_snapshot:
            return "no snapshot";
        case FormatError::truncated:
            return "cut short";
        case FormatError::corrupt_header:
            return "its head is spoilt";
        case FormatError::unsupported_version:
            return "another format version";
        case FormatError::too_large:
            return "too large";
        case FormatError::wrong_length:
            return "cut short or too long";
        case FormatError::corrupt_body:
            return "spoilt";
        case FormatError::not_decompressible:
            return "cannot be unpacked";
        case FormatError::corrupt_entry:
            return "an entry is spoilt";
        case FormatError::duplicate_entry:
            return "an entry comes twice";
        case FormatError::wrong_generation:
            return "another's name";
        case FormatError::wrong_snapshot:
            return "the log of another snapshot";
        case FormatError::truncated_record:
            return "a record is cut short";
        case FormatError::corrupt_record:
            return "a record is spoilt";
        case FormatError::record_not_decompressible:
            return "a record cannot be unpacked";
    }
    return "unknown";
}

}  // namespace cressledge::store
