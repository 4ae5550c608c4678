// The next timer of each request, and the wakeups that the host is asked for.
//
// Invariants: a request has one timer at most; while the server drains, no timer is later than the drain's
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

/// Timers by request. What it refers to must outlive it.
class RequestTimers {
public:
    /// Token of the wakeups in `ScheduleTimer` and `TimerFired`.
    static constexpr std::uint32_t wakeup_token = 2;

    RequestTimers(const EventClock& clock, const DrainState& drain) : clock_(clock), drain_(drain) {}

    /// Replaces the request's timer; a time at or before the origin removes it.
    void set(RequestId id, Timestamp at);
    void erase(RequestId id) { timers_.erase(id); }
    /// Whether a timer has come.
    bool has_due() const { return timers_.has_due(clock_.now()); }
    /// The request with the earliest timer; there must be one.
    RequestId first() const { return timers_.first().id; }
    /// All timers, earliest first.
    const std::set<TimeTable::Entry>& entries() const { return timers_.entries(); }

    /// Asks for a wakeup for the earliest timer, unless one as early is outstanding.
    void schedule_wakeup(ActionSink& actions);
    /// A wakeup has come.
    void on_wakeup() { wakeups_.remove_earliest(); }
    /// The earlier of `at` and the earliest wakeup outstanding.
    Timestamp earliest_wakeup_or(Timestamp at) const { return wakeups_.earliest_or(at); }

private:
    const EventClock& clock_;
    const DrainState& drain_;
    TimeTable timers_;
    WakeupSchedule wakeups_;
};

}  // namespace cressledge::policy::aces
