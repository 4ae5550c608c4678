#include "connection_admission/rejection_reason.hpp"

namespace cressledge::connection_admission {

const char* to_string(RejectionReason reason) {
    static constexpr const char* names[rejection_reason_count] = {"rate", "open",    "share",
                                                                  "full", "in_hand", "requests"};
    return names[static_cast<std::size_t>(reason)];
}

}  // namespace cressledge::connection_admission
