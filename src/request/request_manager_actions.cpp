// Applies the actions of the admission controller. An action on a request that is no longer open, or that is not in a
// state in which the action is allowed, does nothing; `policy::Run` on a closed request is reported back as not
// started.

#include <algorithm>

#include "base/log.hpp"
#include "request/request_manager.hpp"

namespace cressledge::request {

using policy::Idempotency;
using policy::Outcome;

// ---- runs ----

void RequestManager::apply(const policy::Run& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr)
        return post_event(policy::RunFinished{action.id, Outcome::not_started});
    if (request->state == RequestState::suspended) {
        request->state = RequestState::running;
        return executor_->resume(action.id);
    }
    if (request->state != RequestState::queued)
        return;
    const policy::RequestClass& request_class = class_of(*request);
    if (request->has_run && request_class.idempotency != Idempotency::always) {
        // A run that was discarded before its end may already have taken effect.
        base::log_error("request: second run prevented request={}", request->incoming.external_id);
        request->has_failed = true;
        return post_event(policy::RunFinished{action.id, Outcome::error}, action.id);
    }
    request->state = RequestState::running;
    request->has_run = true;
    if (request_class.idempotency != Idempotency::always)
        run_ids_.record(request->incoming.external_id, now(), now() + request_class.answer_deadline);
    const IncomingRequest& incoming = request->incoming;
    counters_.count_run_started(settings_of(*request), incoming.class_index);
    Work work;
    work.request_id = action.id;
    work.external_id = incoming.external_id;
    work.class_name = request_class.name;
    work.body = incoming.body;
    work.reserved_kb = incoming.reserved_kb;
    work.accepted_at = incoming.accepted_at;
    work.deadline = request->deadline;
    work.affinity_key = incoming.idempotency_key;
    executor_->run(work);
}

void RequestManager::apply(const policy::Suspend& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->state != RequestState::running)
        return;
    request->suspend_requested = true;
    executor_->suspend(action.id);
}

// ---- responses ----

void RequestManager::apply(const policy::Reject& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr)
        return;
    if (request->has_run) {
        // A rejection guarantees to the caller that the request never ran.
        base::log_error("request: rejection changed to failure request={} reason=\"the request has run\"",
                        request->incoming.external_id);
        return apply(policy::Fail{action.id});
    }
    respond(*request, Response{ResponseStatus::rejected, {}, action.retry_after, action.do_not_retry});
    release(action.id);
}

void RequestManager::apply(const policy::Fail& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr)
        return;
    const bool is_late = request->has_run && !request->has_failed;
    const ResponseStatus status = is_late ? ResponseStatus::deadline_exceeded : ResponseStatus::failed;
    respond(*request, Response{status, {}, Duration(0), false});
    if (request->is_releasable())
        release(action.id);
}

// ---- dependency calls ----

void RequestManager::apply(const policy::CallDependency& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->state != RequestState::awaiting_call_decision)
        return;
    // The run ends at its call. An event in return could make the controller request the call again without end.
    if (request->answered)
        return;
    if (request->call_may_have_effect && class_of(*request).idempotency != Idempotency::always) {
        base::log_error(
            "request: second dependency call prevented request={} reason=\"the first may have taken effect\"",
            request->incoming.external_id);
        return post_event(policy::DependencyCallFinished{action.id, Outcome::error, Duration(0)});
    }
    request->state = RequestState::awaiting_call_reply;
    request->call_started_at = now();
    Timestamp deadline = request->deadline;
    if (action.timeout > Duration(0))
        deadline = std::min(deadline, request->call_started_at + action.timeout);
    const RequestId request_id = action.id;
    request->call_timer = timers_.schedule(deadline, [this, request_id] { time_out_call(request_id); });
    dependency_client_->call(request_id, request->incoming.external_id, request->call_body, deadline);
}

void RequestManager::time_out_call(RequestId request_id) {
    dependency_client_->abandon(request_id);
    dependency_call_finished(request_id, Outcome::timeout, {});
}

void RequestManager::apply(const policy::SkipDependencyCall& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->state != RequestState::awaiting_call_decision)
        return;
    request->state = RequestState::running;
    executor_->skip_call(action.id, request->call_id);
}

// ---- idempotency ----

void RequestManager::apply(const policy::RetainKey& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->incoming.idempotency_key.empty())
        return;
    const policy::RequestClass& request_class = class_of(*request);
    const bool shares_reads = settings_of(*request).result_ttl > Duration(0);
    if (request_class.idempotency == Idempotency::never ||
        (request_class.idempotency == Idempotency::always && !shares_reads))
        return;
    const std::string key = record_key(settings_of(*request), request->incoming);
    if (idempotency_store_.is_full() && !idempotency_store_.contains(key)) {
        base::log_warning("request: idempotency key not retained reason=\"idempotency key table full\"");
        return;
    }
    const Timestamp retained_at = now();
    const Timestamp retained_until = retained_at + action.duration;
    // A request accepted within the window may be read after its end. The key of a request that must run once is
    // therefore kept for as long as such a repeat could still be run.
    Timestamp expires_at = retained_until;
    if (request_class.idempotency == Idempotency::with_key)
        expires_at += request_class.answer_deadline;
    idempotency_store_.retain(key, action.id, digest_payload(request->incoming.body), retained_at,
                              retained_until, expires_at);
}

void RequestManager::apply(const policy::ReleaseKey& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->incoming.idempotency_key.empty())
        return;
    idempotency_store_.release(record_key(settings_of(*request), request->incoming), action.id);
}

void RequestManager::apply(const policy::ReplayResult& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->state != RequestState::queued)
        return;
    request->state = RequestState::awaiting_shared_result;
    // The request shares the outcome of a run, so it must not be rejected from here on.
    request->has_run = true;
    idempotency_store_.replay_to(record_key(settings_of(*request), request->incoming), action.id);
}

// ---- the process ----

void RequestManager::apply(const policy::SetHealth& action) {
    generations_.find(handling_generation_)->health = action;
    update_health();
}

void RequestManager::update_health() {
    const policy::SetHealth health = generations_.health();
    if (health.healthy != health_.healthy)
        base::log_info("health: state changed healthy={}", health.healthy ? "true" : "false");
    health_ = health;
}

// The newest generation decides; an earlier one knows of none of the later requests.
void RequestManager::apply(const policy::SetIdleTimeout& action) {
    if (handling_generation_ != generations_.newest_serial())
        return;
    connection_settings_->set_idle_timeout(action.timeout);
}

// Neither protocol has a response field for the load advertisement.
void RequestManager::apply(const policy::AdvertiseLoad&) {}

void RequestManager::apply(const policy::WriteLog& action) {
    base::log_info("controller: {}", action.text);
}

// ---- timers ----

void RequestManager::apply(const policy::ScheduleTimer& action) {
    const Timestamp due = latest_time_ + action.delay;
    timers_.schedule_detached(due, [this, generation = handling_generation_, timer_token = action.token] {
        request_timer_gauges(generation, timer_token);
    });
}

// Each timer fires once, with current gauges if the executor reports them before the query times out.
void RequestManager::request_timer_gauges(std::uint64_t generation, std::uint32_t timer_token) {
    if (generations_.find(generation) == nullptr)
        return;
    executor_queries_.query_gauges(*executor_, now(),
                                   [this, generation, timer_token](const policy::Gauges& gauges) {
                                       post_event_to(generation, policy::TimerFired{timer_token, gauges}, 0);
                                   });
}

}  // namespace cressledge::request
