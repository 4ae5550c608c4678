#include "policy/run_deadlines.hpp"

#include <algorithm>

#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double max_skippable_run_fraction = 0.7;  // of the objective
constexpr double max_run_seconds = 1e6;
constexpr double work_after_skip_fraction = 0.5;  // of the price of a run

}  // namespace

Timestamp RunDeadlines::latest_start(const TrackedRequest& request) const {
    const Timestamp end = state_.drain.bounded(request.full_weight_until());
    return end - from_seconds(expected_run_seconds(request));
}

Timestamp RunDeadlines::latest_skip(const TrackedRequest& request) const {
    const double price_quanta = state_.estimates.price_of(request).quanta();
    return request.full_weight_until() - from_seconds(work_after_skip_fraction * price_quanta);
}

Timestamp RunDeadlines::give_up_at(const TrackedRequest& request) const {
    const bool runs_on = request.earns_late() || state_.settings.preemption == Preemption::none;
    return std::max(state_.clock.now(), runs_on ? request.deadline : request.full_weight_until());
}

double RunDeadlines::expected_run_seconds(const TrackedRequest& request) const {
    const double objective = to_seconds(request.request_class->latency_objective);
    const double longest = request.can_skip_call() ? max_skippable_run_fraction * objective : max_run_seconds;
    const double learned = state_.estimates.price_of(request).run_seconds();
    const double run = std::min(longest, learned * state_.estimates.stall.slowdown());
    if (!request.requires_call())
        return run;
    const double waiting_calls = state_.requests.waiting_calls_at_or_above(request.band);
    const double expected_calls = state_.requests.expected_calls_at_or_above(request.band);
    return run + state_.dependency.queue_delay(waiting_calls, expected_calls);
}

}  // namespace cressledge::policy::aces
