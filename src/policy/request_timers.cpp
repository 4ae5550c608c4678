#include "policy/request_timers.hpp"

#include <algorithm>

namespace cressledge::policy::aces {

void RequestTimers::set(RequestId id, Timestamp at) {
    if (at <= Timestamp(0)) {
        timers_.erase(id);
        return;
    }
    timers_.set(id, drain_.is_draining() ? std::max(clock_.now(), drain_.bounded(at)) : at);
}

void RequestTimers::schedule_wakeup(ActionSink& actions) {
    if (timers_.empty())
        return;
    const Timestamp next = std::max(clock_.now(), timers_.first().at);
    if (wakeups_.add_if_earlier(next))
        actions.emit(ScheduleTimer{next - clock_.now(), wakeup_token});
}

}  // namespace cressledge::policy::aces
