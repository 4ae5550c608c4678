#include "platform/command_barrier.hpp"

#include <algorithm>

namespace cressledge::platform {

std::string CommandBarrier::begin(std::uint64_t sequence, base::Timestamp now) {
    is_pending_ = true;
    ++query_count_;
    sequence_ = sequence;
    sent_at_ = now;
    return tag();
}

std::optional<BarrierResult> CommandBarrier::end(std::string_view reply_tag, base::Timestamp now) {
    if (!is_pending_ || reply_tag != tag())
        return std::nullopt;
    is_pending_ = false;
    return BarrierResult{sequence_, std::max(base::Duration(0), now - sent_at_)};
}

// append() instead of operator+: GCC 12 falsely warns about overlapping copies of a literal (GCC bug 105651).
std::string CommandBarrier::tag() const {
    return std::string("b").append(std::to_string(query_count_));
}

}  // namespace cressledge::platform
