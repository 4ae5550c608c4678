#include "policy/request_finalizer.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr Duration suspend_retry_interval{125'000};

}  // namespace

void RequestFinalizer::reject(TrackedRequest& request) {
    if (request.state != RequestState::queued || request.answered) {
        fail(request);
        return;
    }
    const RetryReading reading = retry_reading();
    state_.actions.emit(
        Reject{request.id, retry_advisor_.retry_after(reading), retry_advisor_.discourages_retry(reading)});
    state_.statistics.record_rejection(state_.bands.is_top(request.band));
    remove(request);
}

void RequestFinalizer::fail(TrackedRequest& request) {
    if (!request.answered)
        state_.actions.emit(Fail{request.id});
    state_.requests.mark_answered(request);
    if (!request.is_in_flight()) {
        remove(request);
        return;
    }
    state_.timers.erase(request.id);
    stop_work(request);
}

void RequestFinalizer::cancel(TrackedRequest& request) {
    if (!request.is_in_flight()) {
        remove(request);
        return;
    }
    state_.requests.mark_answered(request);
    state_.timers.erase(request.id);
    // A run with a key continues, because a repeat may ask for its outcome.
    if (!request.needs_key())
        stop_work(request);
}

void RequestFinalizer::remove(TrackedRequest& request) {
    if (request.state == RequestState::queued) {
        state_.requests.record_ended_unrun(request);
        if (request.key_retained)
            release_key(request);
    }
    state_.timers.erase(request.id);
    state_.requests.erase(request);
}

void RequestFinalizer::release_key(const TrackedRequest& request) {
    state_.actions.emit(ReleaseKey{request.id});
    state_.requests.forget_key(request);
}

RetryReading RequestFinalizer::retry_reading() const {
    return {.is_unavailable = state_.is_unavailable(),
            .is_degraded = state_.failures.degraded(),
            .relative_speed = state_.estimates.relative_speed,
            .intake_overload = state_.intake.overload(),
            .top_band_rejected_fraction = state_.statistics.top_band_rejected_fraction()};
}

void RequestFinalizer::stop_work(TrackedRequest& request) {
    const Preemption preemption = state_.settings.preemption;
    if (request.state != RequestState::running || preemption == Preemption::none)
        return;
    state_.actions.emit(Suspend{request.id});
    // A pause has no effect on a run that waits for a disk, so it is repeated until the run ends.
    if (preemption == Preemption::pause && !state_.drain.is_draining())
        state_.timers.set(request.id, state_.clock.now() + suspend_retry_interval);
}

}  // namespace cressledge::policy::aces
