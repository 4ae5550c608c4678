#include "policy/dependency_call_scheduler.hpp"

#include <algorithm>
#include <utility>

#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double max_idle_utilization = 0.5;  // of all cores
constexpr int max_call_attempts = 3;  // per request
constexpr Duration call_retry_delay{60'000};
constexpr Duration min_call_timeout{1'000};

}  // namespace

void DependencyCallScheduler::on_requested(const DependencyCallRequested& event) {
    TrackedRequest* const request = state_.requests.find(event.id);
    if (request == nullptr || request->state != RequestState::running)
        return;
    state_.failures.record_progress(state_.clock.now());
    state_.requests.set_state(*request, RequestState::awaiting_call);
    // The run of an answered request ends at its call.
    if (!request->answered)
        wait_for_call(*request);
}

void DependencyCallScheduler::on_finished(const DependencyCallFinished& event) {
    TrackedRequest* const request = state_.requests.find(event.id);
    if (request == nullptr || request->state != RequestState::in_call)
        return;
    const bool has_succeeded = event.outcome == Outcome::ok;
    state_.dependency.finish_call(state_.clock.now(), event.outcome == Outcome::timeout);
    state_.dependency.learn(has_succeeded, to_seconds(event.duration));
    state_.requests.set_state(*request, has_succeeded ? RequestState::running : RequestState::awaiting_call);
    if (request->answered) {
        state_.timers.erase(request->id);
        return;
    }
    if (has_succeeded) {
        state_.timers.set(request->id, deadlines_.give_up_at(*request));
        return;
    }
    request->call_failed = true;
    if (can_retry(*request, event.outcome))
        retry_later(*request);
    else if (request->can_skip_call())
        skip_call(*request);
    else
        finalizer_.fail(*request);
}

bool DependencyCallScheduler::on_timer(TrackedRequest& request) {
    if (std::exchange(request.call_retry_pending, false)) {
        state_.requests.join_call_queue(request);
        wait_for_call(request);
        return true;
    }
    const bool is_waiting = request.state == RequestState::awaiting_call;
    if (!is_waiting || !request.can_skip_call() || state_.clock.now() >= request.objective_at)
        return false;
    skip_call(request);
    return true;
}

void DependencyCallScheduler::dispatch() {
    while (!state_.requests.call_queue().empty() && state_.dependency.allows_call()) {
        TrackedRequest& request = state_.requests.at(state_.requests.call_queue().begin()->id);
        if (is_too_late(request))
            finalizer_.fail(request);
        else
            issue_call(request);
    }
}

void DependencyCallScheduler::skip_calls_for_idle_cores() {
    const std::set<QueuePosition>& call_queue = state_.requests.call_queue();
    const auto can_skip = [this](const QueuePosition& position) {
        return state_.requests.at(position.id).can_skip_call();
    };
    while (are_cores_idle()) {
        const auto lowest = std::find_if(call_queue.rbegin(), call_queue.rend(), can_skip);
        if (lowest == call_queue.rend())
            return;
        skip_call(state_.requests.at(lowest->id));
    }
}

void DependencyCallScheduler::wait_for_call(TrackedRequest& request) {
    if (!request.can_skip_call()) {
        state_.timers.set(request.id, deadlines_.give_up_at(request));
        return;
    }
    const Timestamp now = state_.clock.now();
    const Timestamp skip_at = deadlines_.latest_skip(request);
    if (now >= skip_at - from_seconds(state_.dependency.mean_call_seconds()))
        skip_call(request);
    else
        state_.timers.set(request.id, std::max(now, skip_at));
}

void DependencyCallScheduler::skip_call(TrackedRequest& request) {
    state_.actions.emit(SkipDependencyCall{request.id});
    state_.requests.set_state(request, RequestState::running);
    state_.timers.set(request.id, deadlines_.give_up_at(request));
}

void DependencyCallScheduler::issue_call(TrackedRequest& request) {
    state_.requests.set_state(request, RequestState::in_call);
    request.calls_made += 1;
    const Timestamp give_up_at = deadlines_.give_up_at(request);
    const bool can_skip = request.can_skip_call();
    const Timestamp skip_or_give_up_at =
        can_skip ? std::min(deadlines_.latest_skip(request), give_up_at) : give_up_at;
    const Duration max_duration =
        std::min(skip_or_give_up_at - state_.clock.now(), state_.dependency.call_timeout());
    state_.actions.emit(CallDependency{request.id, std::max(min_call_timeout, max_duration)});
    if (can_skip)
        state_.timers.set(request.id, give_up_at);
    state_.dependency.start_call();
}

void DependencyCallScheduler::retry_later(TrackedRequest& request) {
    state_.requests.leave_call_queue(request);
    request.call_retry_pending = true;
    const Timestamp retry_at = state_.clock.now() + call_retry_delay;
    state_.timers.set(request.id, std::min(deadlines_.give_up_at(request), retry_at));
}

bool DependencyCallScheduler::can_retry(const TrackedRequest& request, Outcome outcome) const {
    const bool never_ran = outcome == Outcome::rejected || outcome == Outcome::connect_failed;
    const Timestamp skip_or_give_up_at =
        request.can_skip_call() ? deadlines_.latest_skip(request) - call_retry_delay : request.objective_at;
    return (never_ran || request.can_run_again()) && request.calls_made < max_call_attempts &&
           state_.clock.now() < skip_or_give_up_at;
}

bool DependencyCallScheduler::is_too_late(const TrackedRequest& request) const {
    if (request.earns_late() || !request.requires_call())
        return false;
    const Duration left = request.full_weight_until() - state_.clock.now();
    return to_seconds(left) < state_.dependency.mean_call_seconds();
}

bool DependencyCallScheduler::are_cores_idle() const {
    const double max_cores_in_use = max_idle_utilization * state_.settings.cores;
    return !state_.requests.run_queue().empty() &&
           state_.server_usage().in_flight + 1.0 > state_.max_in_flight() &&
           state_.cores_in_use() < max_cores_in_use;
}

}  // namespace cressledge::policy::aces
