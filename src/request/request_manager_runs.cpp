// Handles reports of the executor and the dependency client, and cancellations by callers.

#include <algorithm>
#include <string_view>
#include <utility>

#include "base/log.hpp"
#include "request/request_manager.hpp"

namespace cressledge::request {

using policy::Outcome;

namespace {

/// The outcome of a dependency call as written to the log.
std::string_view outcome_name(Outcome outcome) {
    switch (outcome) {
        case Outcome::ok:
            return "ok";
        case Outcome::error:
            return "error";
        case Outcome::rejected:
            return "rejected";
        case Outcome::timeout:
            return "timeout";
        case Outcome::connect_failed:
            return "connect_failed";
        case Outcome::reset:
            return "reset";
        case Outcome::cancelled:
            return "cancelled";
        case Outcome::not_started:
            break;
    }
    return "not_started";
}

}  // namespace

void RequestManager::run_finished(RequestId request_id, RunResult run_result, std::string_view body) {
    OpenRequest* request = open_requests_.find(request_id);
    // The end of a run may be reported twice when the link to the executor is interrupted.
    if (request == nullptr || request->state == RequestState::finished ||
        request->state == RequestState::queued)
        return;
    counters_.count_run_finished();
    request->call_timer.cancel();
    if (request->state == RequestState::awaiting_call_reply)
        dependency_client_->abandon(request_id);
    const bool was_suspended = run_result == RunResult::killed && !request->answered &&
                               request->suspend_requested &&
                               settings_of(*request).preemption != policy::Preemption::none;
    if (was_suspended)
        return mark_suspended(*request, request_id);
    request->state = RequestState::finished;
    const Outcome outcome = respond_to_run(*request, run_result, body);
    finish_record(*request, request_id, run_result == RunResult::succeeded, body);
    post_event(policy::RunFinished{request_id, outcome}, request_id);
}

// The request stays open until the controller runs it again. A paused run keeps its progress; a discarded one does not.
void RequestManager::mark_suspended(OpenRequest& request, RequestId request_id) {
    const bool is_paused = settings_of(request).preemption == policy::Preemption::pause;
    request.suspend_requested = false;
    request.state = is_paused ? RequestState::suspended : RequestState::queued;
    post_event(policy::RunFinished{request_id, Outcome::cancelled});
}

// A request whose run was killed or did not start is answered when it is released.
Outcome RequestManager::respond_to_run(OpenRequest& request, RunResult run_result, std::string_view body) {
    switch (run_result) {
        case RunResult::succeeded:
            respond(request, Response{ResponseStatus::served, body, Duration(0), false});
            return Outcome::ok;
        case RunResult::failed:
            request.has_failed = true;
            respond(request, Response{});
            return Outcome::error;
        case RunResult::noop:
            return Outcome::not_started;
        case RunResult::killed:
            break;
    }
    return Outcome::cancelled;
}

void RequestManager::dependency_call_requested(RequestId request_id, std::uint64_t call_id,
                                               std::string body) {
    OpenRequest* request = open_requests_.find(request_id);
    if (request == nullptr)
        return;
    if (request->state != RequestState::running && request->state != RequestState::suspended)
        return;
    request->state = RequestState::awaiting_call_decision;
    request->call_id = call_id;
    request->call_body = std::move(body);
    request->call_may_have_effect = false;
    post_event(policy::DependencyCallRequested{request_id});
}

void RequestManager::dependency_call_finished(RequestId request_id, Outcome outcome, std::string_view reply) {
    OpenRequest* request = open_requests_.find(request_id);
    if (request == nullptr || request->state != RequestState::awaiting_call_reply)
        return;
    request->call_timer.cancel();
    if (outcome == Outcome::ok) {
        request->state = RequestState::running;
        request->call_body.clear();
        executor_->deliver_call_reply(request_id, reply);
    } else {
        log_call_failure(*request, outcome);
        request->state = RequestState::awaiting_call_decision;
        request->has_failed = true;
        // Only these outcomes prove that the call had no effect at the dependency.
        const bool had_no_effect = outcome == Outcome::rejected || outcome == Outcome::connect_failed;
        request->call_may_have_effect = !had_no_effect;
    }
    post_event(policy::DependencyCallFinished{request_id, outcome, now() - request->call_started_at});
}

std::size_t RequestManager::dependency_calls_in_flight() {
    const auto ids = open_requests_.ids();
    return static_cast<std::size_t>(std::count_if(ids.begin(), ids.end(), [this](RequestId request_id) {
        return open_requests_.find(request_id)->state == RequestState::awaiting_call_reply;
    }));
}

void RequestManager::log_call_failure(const OpenRequest& request, Outcome outcome) {
    std::uint64_t suppressed = 0;
    if (call_failure_log_limiter_.try_acquire(now(), suppressed))
        base::log_info("request: dependency call failed request={} outcome={} answered={} suppressed={}",
                       request.incoming.external_id, outcome_name(outcome), request.answered, suppressed);
}

// ---- callers ----

void RequestManager::cancel(RequestId request_id) {
    OpenRequest* request = open_requests_.find(request_id);
    if (request == nullptr || request->answered)
        return;
    request->answered = true;
    --unanswered_count_;
    counters_.count_cancelled();
    post_event(policy::Cancelled{request_id}, request->is_releasable() ? request_id : 0);
}

// ---- repeats ----

void RequestManager::finish_record(const OpenRequest& request, RequestId request_id, bool succeeded,
                                   std::string_view result) {
    if (request.incoming.idempotency_key.empty())
        return;
    const std::string key = record_key(settings_of(request), request.incoming);
    idempotency_store_.finish(key, request_id, now(), succeeded, result);
}

void RequestManager::replay_result(RequestId request_id, const IdempotencyRecord& record) {
    OpenRequest* request = open_requests_.find(request_id);
    if (request == nullptr || request->state != RequestState::awaiting_shared_result)
        return;
    request->state = RequestState::finished;
    request->has_failed = !record.succeeded;
    if (record.succeeded)
        respond(*request, Response{ResponseStatus::served, record.result, Duration(0), false});
    else
        respond(*request, Response{});
    const Outcome outcome = record.succeeded ? Outcome::ok : Outcome::error;
    post_event(policy::RunFinished{request_id, outcome}, request_id);
}

}  // namespace cressledge::request
