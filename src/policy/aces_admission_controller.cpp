#include "policy/aces_admission_controller.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "policy/estimates_snapshot.hpp"
#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {

AcesAdmissionController::AcesAdmissionController(const Settings& settings,
                                                 std::shared_ptr<ServerResources> resources)
    : state_(settings, std::move(resources)),
      retry_advisor_(settings.replica_count, settings.max_retry_after),
      deadlines_(state_),
      finalizer_(state_, retry_advisor_),
      evictor_(state_, finalizer_),
      repeats_(state_, deadlines_, finalizer_, evictor_),
      arrivals_(state_, deadlines_, finalizer_, evictor_, repeats_, retry_advisor_),
      runs_(state_, deadlines_, finalizer_),
      calls_(state_, deadlines_, finalizer_),
      periods_(state_, finalizer_),
      load_reporter_(state_),
      gauges_(state_, load_reporter_) {}

Estimates AcesAdmissionController::estimates() const {
    return save_estimates(state_);
}

void AcesAdmissionController::restore(const Estimates& saved) {
    if (!state_.clock.is_started())
        restore_estimates(saved, state_);
}

void AcesAdmissionController::handle(Timestamp now, const Event& event, std::vector<Action>& actions) {
    state_.actions.begin(actions);
    advance(now);
    std::visit([this](const auto& typed_event) { on_event(typed_event); }, event);
    calls_.dispatch();
    calls_.skip_calls_for_idle_cores();
    runs_.dispatch();
    state_.timers.schedule_wakeup(state_.actions);
}

void AcesAdmissionController::advance(Timestamp event_time) {
    const Timestamp next_timer = state_.timers.earliest_wakeup_or(gauges_.next_at());
    const EventClock::Step step = state_.clock.advance(event_time, next_timer);
    if (step.is_later)
        state_.requests.begin_batch();
    if (step.elapsed_seconds > 0.0)
        record_elapsed(step.elapsed_seconds);
    state_.dependency.advance(state_.clock.now());
    state_.requests.expire_keys(state_.clock.now());
    if (step.is_first) {
        periods_.start();
        state_.failures.record_progress(state_.clock.now());
    }
    if (periods_.close_if_over())
        load_reporter_.report();
}

void AcesAdmissionController::record_elapsed(double elapsed_seconds) {
    const double running = state_.requests.running();
    const double cores_per_run = state_.settings.cores / std::max(1.0, state_.server_usage().running);
    ServerEstimates& estimates = state_.estimates;
    const double core_seconds =
        elapsed_seconds * std::min(estimates.runnable_fraction.fraction(), cores_per_run);
    state_.requests.add_core_seconds_per_run(core_seconds);
    estimates.stall.decay(elapsed_seconds);
    estimates.stall.add_delivered(core_seconds * running);
    if (!state_.requests.run_queue().empty())
        estimates.capacity.add_busy_seconds(elapsed_seconds);
}

void AcesAdmissionController::on_event(const Started&) {
    state_.resources->record_start(state_.clock.now());
    state_.actions.emit(SetHealth{!state_.drain.is_draining(), true});
    gauges_.schedule();
}

void AcesAdmissionController::on_event(const RequestArrived& event) {
    arrivals_.on_arrived(event);
}

void AcesAdmissionController::on_event(const RunFinished& event) {
    runs_.on_finished(event);
}

void AcesAdmissionController::on_event(const DependencyCallRequested& event) {
    calls_.on_requested(event);
}

void AcesAdmissionController::on_event(const DependencyCallFinished& event) {
    calls_.on_finished(event);
}

void AcesAdmissionController::on_event(const Cancelled& event) {
    if (TrackedRequest* const request = state_.requests.find(event.id))
        finalizer_.cancel(*request);
}

void AcesAdmissionController::on_event(const DrainStarted& event) {
    const Timestamp now = state_.clock.now();
    const Timestamp noticed_at = std::min(event.noticed_at.value_or(now), now - state_.clock.pause());
    state_.drain.begin(now, now - state_.resources->record_drain_notice(noticed_at), event.deadline);
    state_.actions.emit(SetHealth{false, true});
    state_.actions.log(now, "drain started seconds_left", to_seconds(event.deadline - now));
    bound_timers_by_drain();
    load_reporter_.report();
}

void AcesAdmissionController::bound_timers_by_drain() {
    const std::set<TimeTable::Entry> timers = state_.timers.entries();
    for (const TimeTable::Entry& timer : timers) {
        const TrackedRequest& request = state_.requests.at(timer.id);
        Timestamp at = timer.at;
        if (request.state == RequestState::queued)
            at = std::min(at, deadlines_.latest_start(request));
        state_.timers.set(request.id, std::max(state_.clock.now(), at));
    }
}

// As after every event, waiting calls and queued requests then start as far as the resources allow.
void AcesAdmissionController::on_event(const ResourcesChanged&) {}

void AcesAdmissionController::on_event(const TimerFired& event) {
    if (event.token == RequestTimers::wakeup_token)
        state_.timers.on_wakeup();
    if (event.token == GaugeMonitor::timer_token)
        gauges_.on_gauges(event.gauges);
    handle_due_timers();
}

void AcesAdmissionController::handle_due_timers() {
    while (state_.timers.has_due()) {
        TrackedRequest& request = state_.requests.at(state_.timers.first());
        if (!calls_.on_timer(request))
            finalizer_.reject(request);  // fails a request that is not queued
    }
}

}  // namespace cressledge::policy::aces

namespace cressledge::policy {

std::unique_ptr<AdmissionController> make_admission_controller(const Settings& settings, std::uint64_t seed) {
    return make_admission_controller(settings, seed, make_server_resources(settings));
}

std::unique_ptr<AdmissionController> make_admission_controller(const Settings& settings, std::uint64_t,
                                                               std::shared_ptr<ServerResources> resources) {
    return std::make_unique<aces::AcesAdmissionController>(settings, std::move(resources));
}

}  // namespace cressledge::policy
