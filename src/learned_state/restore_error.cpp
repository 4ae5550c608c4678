#include "learned_state/restore_error.hpp"

namespace cressledge::learned_state {

std::string to_string(const RestoreRejection& rejection) {
    switch (rejection.cause) {
        case RejectionCause::store_unavailable:
            return "store cannot be opened";
        case RejectionCause::nothing_saved:
            return "no saved state";
        case RejectionCause::unreadable_header:
            return "header entry cannot be decoded";
        case RejectionCause::newer_schema:
            return "schema version newer than supported: " + std::to_string(rejection.stored_value);
        case RejectionCause::other_node:
            return "saved by another node: " + rejection.other_node;
        case RejectionCause::other_settings:
            return "saved with other request classes or latency objectives";
        case RejectionCause::other_core_count:
            return "saved with another number of cores: " + std::to_string(rejection.stored_value);
        case RejectionCause::from_the_future:
            return "saved in the future";
        case RejectionCause::too_old:
            return "too old: " + std::to_string(rejection.stored_value) + " hours";
    }
    return "unknown";
}

std::string to_string(const SkippedEntry& entry) {
    return entry.key + ": malformed or out of range";
}

}  // namespace cressledge::learned_state
