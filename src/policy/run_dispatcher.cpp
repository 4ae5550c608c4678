#include "policy/run_dispatcher.hpp"

#include <algorithm>

#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double max_run_memory_fraction = 0.93;  // leaves room for requests that are being read

}  // namespace

void RunDispatcher::dispatch() {
    const RunQueue& queue = state_.requests.run_queue();
    const double runnable_fraction = state_.estimates.runnable_fraction.fraction();
    while (runnable_fraction * (state_.server_usage().running + 1.0) <= state_.concurrency.limit() &&
           !queue.empty()) {
        TrackedRequest& request = state_.requests.at(queue.first());
        if (!can_run(request))
            return;
        state_.actions.emit(Run{request.id});
        state_.requests.set_state(request, RequestState::running);
        request.started_at = state_.clock.now();
        state_.timers.set(request.id, deadlines_.give_up_at(request));
    }
}

bool RunDispatcher::can_run(const TrackedRequest& request) const {
    const bool is_past_grace = state_.drain.is_past_grace(request.arrived_at);
    if (request.answered || is_past_grace || state_.drain.has_ended(state_.clock.now()))
        return false;
    const double growth_factor = std::max(1.0, state_.settings.running_memory_factor) - 1.0;
    const double growth_kb = request.memory_kb * growth_factor;
    if (state_.requests.used_memory_kb() + growth_kb > max_run_memory_fraction * state_.settings.memory_kb)
        return false;
    return state_.server_usage().in_flight + 1.0 <= std::max(1.0, state_.max_in_flight());
}

void RunDispatcher::on_finished(const RunFinished& event) {
    TrackedRequest* const request = state_.requests.find(event.id);
    if (request == nullptr)
        return;
    if (!request->is_in_flight()) {
        finalizer_.remove(*request);
        return;
    }
    const bool was_busy = !state_.requests.run_queue().empty();
    state_.failures.record_progress(state_.clock.now());
    if (request->state == RequestState::in_call)
        state_.dependency.finish_call(state_.clock.now(), true);
    state_.requests.set_state(*request, RequestState::awaiting_result);
    learn(*request, event.outcome, was_busy);
    if (event.outcome == Outcome::cancelled && !request->answered)
        state_.actions.emit(Fail{request->id});
    if (event.outcome == Outcome::not_started && request->key_retained)
        finalizer_.release_key(*request);
    finalizer_.remove(*request);
}

void RunDispatcher::learn(const TrackedRequest& request, Outcome outcome, bool was_busy) {
    const bool has_succeeded = outcome == Outcome::ok;
    const bool has_completed = has_succeeded || outcome == Outcome::error;
    ServerEstimates& estimates = state_.estimates;
    ClassPrice& price = estimates.price_of(request);
    if (has_completed)
        estimates.stall.add_completed(price.quanta());
    if (has_succeeded)
        price.learn(request.used_quanta, to_seconds(state_.clock.now() - request.started_at));
    if (has_succeeded && !request.answered && was_busy)
        estimates.capacity.add_completed(request.used_quanta);
    if (has_completed && !request.call_failed && !request.answered)
        state_.failures.record_run(!has_succeeded);
}

}  // namespace cressledge::policy::aces
