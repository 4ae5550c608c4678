#include "policy/request_table.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace cressledge::policy::aces {

RequestTable::RequestTable(const Settings& settings, std::size_t band_count, ServerResources& resources)
    : running_memory_factor_(std::max(1.0, settings.running_memory_factor)),
      idempotency_key_kb_(settings.idempotency_key_kb),
      run_queue_(band_count),
      expected_calls_(band_count, 0.0),
      resources_(resources) {}

TrackedRequest* RequestTable::find(RequestId id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

TrackedRequest& RequestTable::insert(const TrackedRequest& request) {
    TrackedRequest& inserted = requests_[request.id] = request;
    account(inserted, 1.0);
    return inserted;
}

void RequestTable::erase(const TrackedRequest& request) {
    const RequestId id = request.id;
    account(requests_.at(id), -1.0);
    requests_.erase(id);
}

void RequestTable::set_state(TrackedRequest& request, RequestState state) {
    account(request, -1.0);
    request.state = state;
    account(request, 1.0);
}

void RequestTable::mark_answered(TrackedRequest& request) {
    request.answered = true;
    leave_call_queue(request);
}

void RequestTable::move_to_backup_queue(TrackedRequest& request) {
    run_queue_.remove(request);
    request.in_backup_queue = true;
    run_queue_.add(request);
}

void RequestTable::inherit_queue(TrackedRequest& request, const TrackedRequest& original) {
    run_queue_.remove(request);
    request.band = std::max(request.band, original.band);
    request.in_backup_queue = original.in_backup_queue;
    run_queue_.add(request);
}

void RequestTable::join_call_queue(const TrackedRequest& request) {
    if (!request.answered)
        call_queue_.insert(request.position());
}

double RequestTable::waiting_calls_at_or_above(std::size_t band) const {
    const QueuePosition next_band{1 - static_cast<std::ptrdiff_t>(band), Timestamp::min(), 0};
    return static_cast<double>(std::distance(call_queue_.begin(), call_queue_.lower_bound(next_band)));
}

double RequestTable::expected_calls_at_or_above(std::size_t band) const {
    const auto first = expected_calls_.begin() + static_cast<std::ptrdiff_t>(band);
    return std::accumulate(first, expected_calls_.end(), 0.0);
}

void RequestTable::retain_key(TrackedRequest& request, Timestamp until) {
    resources_.retained_keys.set(request.id, until);
    request.key_retained = true;
}

void RequestTable::expire_keys(Timestamp now) {
    TimeTable& retained_keys = resources_.retained_keys;
    while (retained_keys.has_due(now))
        retained_keys.erase(retained_keys.first().id);
}

double RequestTable::used_memory_kb() const {
    return resources_.usage.memory_kb + resources_.retained_keys.size() * idempotency_key_kb_;
}

RequestUsage RequestTable::usage_of(const TrackedRequest& request) const {
    const bool is_in_flight = request.is_in_flight();
    return {.requests = 1.0,
            .queued = request.state == RequestState::queued ? 1.0 : 0.0,
            .in_flight = is_in_flight ? 1.0 : 0.0,
            .running = request.state == RequestState::running ? 1.0 : 0.0,
            .memory_kb = request.memory_kb * (is_in_flight ? running_memory_factor_ : 1.0)};
}

void RequestTable::account(TrackedRequest& request, double sign) {
    const RequestUsage request_usage = usage_of(request);
    usage_.add(request_usage, sign);
    resources_.usage.add(request_usage, sign);
    if (request.requires_call() && request.calls_made == 0 && request.state < RequestState::in_call)
        expected_calls_[request.band] += sign;
    if (request.state == RequestState::queued)
        sign > 0 ? run_queue_.add(request) : run_queue_.remove(request);
    if (request.state == RequestState::awaiting_call)
        sign > 0 ? join_call_queue(request) : leave_call_queue(request);
    if (request.state != RequestState::running)
        return;
    request.used_quanta -= sign * core_seconds_per_run_;
}

}  // namespace cressledge::policy::aces
