#include "policy/wakeup_schedule.hpp"

#include <algorithm>

namespace cressledge::policy::aces {

bool WakeupSchedule::add_if_earlier(Timestamp at) {
    if (!outstanding_.empty() && outstanding_.back() <= at)
        return false;
    outstanding_.push_back(at);
    return true;
}

void WakeupSchedule::remove_earliest() {
    if (!outstanding_.empty())
        outstanding_.pop_back();
}

Timestamp WakeupSchedule::earliest_or(Timestamp at) const {
    return outstanding_.empty() ? at : std::min(outstanding_.back(), at);
}

}  // namespace cressledge::policy::aces
