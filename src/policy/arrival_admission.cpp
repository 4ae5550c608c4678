#include "policy/arrival_admission.hpp"

#include <algorithm>
#include <cmath>

#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double target_objective_fraction = 0.92;  // leaves time for the network and the caller
constexpr double max_queue_memory_fraction = 0.85;
constexpr double max_load_per_core = 1.5;  // runs and queued requests per core
constexpr double min_short_queue_weight_ratio = 0.5;  // band weight over the weight of the class
constexpr double small_budget_prices = 4.0;
constexpr double min_capacity_quanta_per_second = 0.1;
constexpr Duration probe_interval{200'000};
constexpr int probe_divisor = 4;  // a probe must be read within objective / probe_divisor

}  // namespace

void ArrivalAdmission::on_arrived(const RequestArrived& event) {
    state_.statistics.record_arrival();
    state_.intake.record(event.age - state_.clock.pause());
    if (state_.requests.contains(event.id))
        return;
    // The idempotency of an unknown class is not known, so it never runs.
    if (event.class_index >= state_.settings.classes.size()) {
        state_.actions.emit(Reject{event.id, Duration(0), false});
        return;
    }
    const bool is_in_quota = state_.quotas.try_acquire(event.tenant_index, event.is_retry);
    TrackedRequest& request = track(event, is_in_quota);
    const bool is_repeat = event.repeated_id != 0 && !state_.requests.has_ended_unrun(event.repeated_id);
    if (is_repeat && repeats_.join_original(request, state_.requests.find(event.repeated_id)))
        return;
    count_demand(request, is_in_quota);
    const bool is_admitted = admit(request);
    retry_advisor_.record_arrival(state_.settings.callers_mark_retries ? event.is_retry : !is_admitted);
    if (!is_admitted) {
        finalizer_.reject(request);
        return;
    }
    state_.budget.charge(request.band, request.price_quanta);
    repeats_.retain_key(request, event.has_key && !event.is_write);
    state_.timers.set(request.id, deadlines_.latest_start(request));
}

TrackedRequest& ArrivalAdmission::track(const RequestArrived& event, bool is_in_quota) {
    const Timestamp now = state_.clock.now();
    const RequestClass& request_class = state_.settings.classes[event.class_index];
    TrackedRequest request;
    request.id = event.id;
    request.request_class = &request_class;
    request.class_index = event.class_index;
    request.memory_kb = event.reserved_kb;
    request.arrived_at = now - event.age;
    const Timestamp default_deadline = request.arrived_at + request_class.answer_deadline;
    request.deadline = std::max(now, event.caller_deadline.value_or(default_deadline));
    const double objective_seconds = target_objective_fraction * to_seconds(request_class.latency_objective);
    request.objective_at = std::min(request.deadline, request.arrived_at + from_seconds(objective_seconds));
    const ServerEstimates& estimates = state_.estimates;
    request.price_quanta = estimates.price_of(request).quanta() * estimates.stall.slowdown();
    const double quota_factor = is_in_quota ? 1.0 : state_.settings.over_quota_weight;
    request.band = state_.bands.band_of(request_class.priority_weight * quota_factor);
    return state_.requests.insert(request);
}

void ArrivalAdmission::count_demand(const TrackedRequest& request, bool is_in_quota) {
    if (is_in_quota)
        state_.quotas.add_in_quota(request.price_quanta);
    state_.budget.add_demand(request.band, request.price_quanta);
    if (state_.bands.is_top(request.band))
        state_.statistics.record_top_band_arrival();
}

bool ArrivalAdmission::admit(const TrackedRequest& request) {
    if (!passes_health_check(request))
        return false;
    const double key_kb = request.needs_key() ? state_.settings.idempotency_key_kb : 0.0;
    if (!evictor_.evict_until_fits(request, key_kb, max_queue_memory_fraction))
        return false;
    if (is_price_probe(request))
        return true;
    const double pending_quanta = state_.requests.run_queue().quanta_at_or_above(request.band);
    if (!can_start_in_time(request, pending_quanta))
        return false;
    return has_free_core() || fits_short_queue(request) || fits_budget(request, pending_quanta);
}

bool ArrivalAdmission::passes_health_check(const TrackedRequest& request) {
    if (state_.drain.is_past_grace(request.arrived_at) || state_.failures.hung())
        return false;
    // A request that may run only once is left to other servers; others are admitted while most runs succeed.
    if (state_.failures.degraded() && !request.can_run_again())
        return false;
    return !state_.failures.failing() || is_probe_due();
}

bool ArrivalAdmission::is_probe_due() {
    const Timestamp now = state_.clock.now();
    if (now - last_probe_at_ < probe_interval)
        return false;
    last_probe_at_ = now;
    return true;
}

bool ArrivalAdmission::is_price_probe(const TrackedRequest& request) const {
    // If prices are so high that nothing fits, one request at a time checks whether they still hold.
    const Duration age = state_.clock.now() - request.arrived_at;
    const bool is_recent = age * probe_divisor < request.request_class->latency_objective;
    const bool is_alone = state_.server_usage().running < 1.0 && state_.server_usage().queued <= 1.0;
    return is_alone && request.can_run_again() && is_recent;
}

bool ArrivalAdmission::can_start_in_time(const TrackedRequest& request, double pending_quanta) const {
    const double capacity = state_.estimates.capacity.quanta_per_second();
    const double queue_seconds = pending_quanta / std::max(min_capacity_quanta_per_second, capacity);
    const double own_seconds = request.price_quanta / capacity;
    const Duration delay = from_seconds(std::max(0.0, queue_seconds - own_seconds));
    return state_.clock.now() + delay <= deadlines_.latest_start(request);
}

bool ArrivalAdmission::has_free_core() const {
    // The CPU gauge is half a second old; requests started or queued since then must fit the cores too.
    const double cores = state_.settings.cores;
    const double load = state_.cores_in_use() + state_.server_usage().queued;
    const bool is_core_free = state_.estimates.cpu_utilization < 1.0 - 1.0 / cores;
    return (is_core_free && load <= max_load_per_core * cores) || load <= cores;
}

bool ArrivalAdmission::fits_short_queue(const TrackedRequest& request) const {
    // One or two requests may wait while the cores are busy; otherwise cores would idle between arrivals.
    const double cores = state_.settings.cores;
    const double runnable_fraction = state_.estimates.runnable_fraction.fraction();
    const double expected_load =
        runnable_fraction * state_.server_usage().in_flight + state_.server_usage().queued;
    const double min_band_weight = min_short_queue_weight_ratio * request.request_class->priority_weight;
    return expected_load <= cores + std::sqrt(cores) && state_.bands.weight(request.band) > min_band_weight;
}

bool ArrivalAdmission::fits_budget(const TrackedRequest& request, double pending_quanta) const {
    const double period_quanta = state_.budget.period_quanta();
    const double price_quanta = request.price_quanta;
    const bool is_small_budget = period_quanta < small_budget_prices * price_quanta;
    const bool fits_period = pending_quanta + price_quanta <= period_quanta;
    if (state_.bands.is_top(request.band) && is_small_budget && fits_period)
        return true;
    return price_quanta <= state_.budget.remaining_quanta(request.band);
}

}  // namespace cressledge::policy::aces
