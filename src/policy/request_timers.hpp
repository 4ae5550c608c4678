// The timer of each request, and the wakeups requested from the host.
//
// Invariants: a request has at most one timer; while the server drains, no timer is later than the drain
// deadline, so that no request waits beyond it; a wakeup is outstanding for the earliest timer.
#pragma once

#include <cstdint>
#include <set>

#include "policy/action_sink.hpp"
#include "policy/drain_state.hpp"
#include "policy/event_clock.hpp"
#include "policy/time_table.hpp"
#include "policy/wakeup_schedule.hpp"

namespace cressledge::policy::aces {

/// Timers by request.
class RequestTimers {
public:
    /// Token of the wakeups in `ScheduleTimer` and `TimerFired`.
    static constexpr std::uint32_t wakeup_token = 2;

    /// Both arguments must outlive the object.
    RequestTimers(const EventClock& clock, const DrainState& drain) : clock_(clock), drain_(drain) {}

    /// Sets or replaces the timer of the request; a time of 0 or less removes it.
    void set(RequestId id, Timestamp at);
    void erase(RequestId id) { timers_.erase(id); }
    /// Whether a timer is due.
    bool has_due() const { return timers_.has_due(clock_.now()); }
    /// The request with the earliest timer. There must be a timer.
    RequestId first() const { return timers_.first().id; }
    /// All timers, earliest first.
    const std::set<TimeTable::Entry>& entries() const { return timers_.entries(); }

    /// Requests a wakeup for the earliest timer, unless one at least as early is outstanding.
    void schedule_wakeup(ActionSink& actions);
    /// Handles a wakeup from the host.
    void on_wakeup() { wakeups_.remove_earliest(); }
    /// The earlier of `at` and the earliest outstanding wakeup.
    Timestamp earliest_wakeup_or(Timestamp at) const { return wakeups_.earliest_or(at); }

private:
    const EventClock& clock_;
    const DrainState& drain_;
    TimeTable timers_;
    WakeupSchedule wakeups_;
};

}  // namespace cressledge::policy::aces
