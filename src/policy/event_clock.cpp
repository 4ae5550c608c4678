#include "policy/event_clock.hpp"

#include <algorithm>
#include <utility>

#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr Duration min_pause{20'000};  // batches normally come within a few milliseconds of a timer

}  // namespace

EventClock::Step EventClock::advance(Timestamp event_time, Timestamp next_timer) {
    const Timestamp now = std::max(event_time, now_);
    Step step;
    step.is_later = now > now_;
    if (step.is_later) {
        const Duration lateness = now - next_timer;
        pause_ = is_started_ && lateness > min_pause ? lateness : Duration(0);
    }
    if (is_started_)
        step.elapsed_seconds = std::max(0.0, to_seconds(now - now_ - pause_));
    now_ = now;
    step.is_first = !std::exchange(is_started_, true);
    return step;
}

}  // namespace cressledge::policy::aces
