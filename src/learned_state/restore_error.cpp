#include "learned_state/restore_error.hpp"

namespace cressledge::learned_state {

std::string to_string(const RestoreRejection& rejection) {
    switch (rejection.cause) {
        case RejectionCause::no_directory:
            return "no folder";
        case RejectionCause::nothing_saved:
            return "nothing has been kept";
        case RejectionCause::unreadable_header:
            return "its head cannot be read";
        case RejectionCause::newer_schema:
            return "a newer version's: schema " + std::to_string(rejection.stored_value);
        case RejectionCause::other_node:
            return "another node's: " + rejection.other_node;
        case RejectionCause::other_settings:
            return "another site's: its classes or targets differ";
        case RejectionCause::other_core_count:
            return "learned with " + std::to_string(rejection.stored_value) + " cores";
        case RejectionCause::from_the_future:
            return "from the future";
        case RejectionCause::too_old:
            return "too old: " + std::to_string(rejection.stored_value) + " hours";
    }
    return "unknown";
}

std::string to_string(const SkippedEntry& entry) {
    return entry.key + ": not what it should be";
}

}  // namespace cressledge::learned_state
