#include "request/request_manager.hpp"

#include <spdlog/spdlog.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cressledge::request {
namespace {

using policy::Idempotency;
using policy::Outcome;

constexpr std::size_t max_open_requests = 4096;  // far beyond what a server's memory holds as requests
constexpr std::size_t max_retained_result_bytes = 24U << 20U;  // of the program's own memory limit
constexpr std::size_t max_idempotency_keys = 65'536, max_pending_health_checks = 64;
constexpr Duration gauges_timeout{
    15'000};  // below the standstill that the Controller would read into a late timer
constexpr Duration health_check_timeout{2'000'000};

}  // namespace

RequestManager::RequestManager(policy::Settings settings,
                               std::unique_ptr<policy::AdmissionController> controller, Clock& clock,
                               TimerQueue& timers)
    : clock_(clock), timers_(timers) {
    generations_.push_back({std::move(settings), std::move(controller), 0});
}

RequestManager::SettingsGeneration* RequestManager::find_generation(std::uint64_t serial) {
    if (serial < oldest_generation_ || serial - oldest_generation_ >= generations_.size())
        return nullptr;
    return &generations_[serial - oldest_generation_];
}

void RequestManager::reconfigure(policy::Settings settings,
                                 std::unique_ptr<policy::AdmissionController> controller) {
    controller->restore(generations_.back().controller->estimates());
    generations_.push_back({std::move(settings), std::move(controller), 0});
    const std::uint64_t serial = newest_generation();
    spdlog::info("settings: generation {} in force with {} classes; {} requests open with the older", serial,
                 generations_.back().settings.classes.size(), unanswered_count_);
    if (started_)
        post_event_to(serial, policy::Started{}, 0);
    if (draining_)
        post_event_to(serial, policy::DrainStarted{shutdown_deadline_}, 0);
    drop_unused_generations();
}

// Guards memory against generations that nobody needs: an older one goes once all its requests are over.
void RequestManager::drop_unused_generations() {
    while (generations_.size() > 1 && generations_.front().open_requests == 0) {
        generations_.pop_front();
        ++oldest_generation_;
    }
}

void RequestManager::attach(Executor& executor, DependencyClient& dependency_client,
                            ConnectionSettingsSink& connection_settings) {
    executor_ = &executor;
    dependency_client_ = &dependency_client;
    connection_settings_ = &connection_settings;
}

Timestamp RequestManager::now() {
    // Guards against a Unix clock that is set back: the Controller's clock stays at the latest time seen.
    latest_time_ = std::max(latest_time_, clock_.unix_now());
    return latest_time_;
}

void RequestManager::start(Timestamp executor_started_at) {
    if (started_)
        return;
    started_ = true;
    latest_time_ = std::min(executor_started_at,
                            clock_.unix_now());  // a cold server has been warming since the executor's start
    actions_.clear();
    dispatching_ = true;
    handling_generation_ = newest_generation();
    generations_.back().controller->handle(latest_time_, policy::Started{}, actions_);
    now();
    for (const auto& action : actions_)
        std::visit([this](const auto& a) { apply(a); }, action);
    dispatching_ = false;
}

std::size_t RequestManager::class_index_of(std::string_view name) const {
    for (std::size_t i = 0; i < settings().classes.size(); ++i)
        if (settings().classes[i].name == name)
            return i;
    return policy::unknown_index;
}
std::size_t RequestManager::tenant_index_of(std::string_view name) const {
    for (std::size_t i = 0; i < settings().tenants.size(); ++i)
        if (settings().tenants[i].name == name)
            return i;
    return policy::unknown_index;
}

// ---- events ----

RequestId RequestManager::submit(IncomingRequest request, Responder& responder, std::uint64_t ticket) {
    // Guards what may run once against a table that has no room left to remember that it did.
    const bool cannot_remember_key =
        idempotency_records_.size() >= max_idempotency_keys && !request.idempotency_key.empty() &&
        settings().classes.at(request.class_index).idempotency == Idempotency::with_key &&
        idempotency_records_.count(record_key(settings(), request)) == 0;
    if (open_requests_.size() >= max_open_requests || !started_ || cannot_remember_key) {
        // Guards the memory limit against more requests than any budget of the Controller's would hold.
        std::uint64_t suppressed = 0;
        if (rejection_log_limiter_.try_acquire(clock_.unix_now(), suppressed))
            spdlog::warn("refused unseen: {}; {} more like it",
                         !started_             ? "engine not up yet"
                         : cannot_remember_key ? "the table of keys is full"
                                               : "the table of requests is full",
                         suppressed);
        reject_before_admission(responder, ticket, settings().max_retry_after, request.class_index);
        return 0;
    }
    ++counts_.received;
    if (ids_by_external_id_.count(request.external_id) != 0) {
        // Guards a request against another under its id: engine and records service know them by it, and the
        // outcome of one would go to the other.
        ++counts_.failed;
        ++counts_of_class(settings(), request.class_index).failed;
        responder.respond(ticket, Response{ResponseStatus::malformed, {}, Duration(0), false});
        return 0;
    }
    const Timestamp received_at = now();
    const policy::RequestClass& request_class = settings().classes.at(request.class_index);
    // Guards against a caller whose clock is ahead: nothing arrives later than it is read.
    const Timestamp accepted_at = request.accepted_at = std::min(request.accepted_at, received_at);
    const IdempotencyRecord* record = find_retained(request);
    // Guards a request against another under its idempotency key: it would be answered with the result of what it is not.
    if (record != nullptr && request_class.idempotency == Idempotency::with_key &&
        record->payload_digest != digest_payload(request)) {
        ++counts_.failed;
        ++counts_of_class(settings(), request.class_index).failed;
        std::uint64_t suppressed = 0;
        if (key_mismatch_log_limiter_.try_acquire(received_at, suppressed))
            spdlog::info("idempotency key used for another payload: refused as malformed; {} more like it",
                         suppressed);
        responder.respond(ticket, Response{ResponseStatus::malformed, {}, Duration(0), false});
        return 0;
    }
    auto open_request = std::make_unique<OpenRequest>();
    open_request->incoming = std::move(request);
    open_request->responder = &responder;
    open_request->ticket = ticket;
    open_request->generation = newest_generation();
    ++generations_.back().open_requests;
    open_request->deadline = std::max(
        received_at, accepted_at + open_request->incoming.max_wait.value_or(request_class.answer_deadline));
    policy::RequestArrived event;
    event.class_index = open_request->incoming.class_index;
    event.tenant_index = open_request->incoming.tenant_index;
    event.caller_id = open_request->incoming.caller_id;
    event.repeated_id = open_request->repeated_id =
        record != nullptr ? repeated_request_id(*record, request_class) : 0;
    event.has_key = !open_request->incoming.idempotency_key.empty();
    event.is_retry = open_request->incoming.is_retry;
    if (open_request->incoming.max_wait)
        event.caller_deadline = open_request->deadline;
    event.is_write = request_class.idempotency != Idempotency::always;
    event.expected_work_seconds = open_request->incoming.expected_work_seconds;
    event.rank = open_request->incoming.rank;
    event.reserved_kb = open_request->incoming.reserved_kb;
    event.age = received_at - accepted_at;
    const std::string external_id = open_request->incoming.external_id;
    const RequestId request_id = open_requests_.add(std::move(open_request));
    ids_by_external_id_[external_id] = request_id;
    event.id = request_id;
    ++unanswered_count_;
    post_event(event);
    return open_requests_.find(request_id) != nullptr ? request_id : 0;
}

RequestManager::ClassCounts& RequestManager::counts_of_class(const policy::Settings& class_settings,
                                                             std::size_t class_index) {
    static const std::string none = "unknown";
    return counts_by_class_[class_index < class_settings.classes.size()
                                ? class_settings.classes[class_index].name
                                : none];
}

void RequestManager::reject_before_admission(Responder& responder, std::uint64_t ticket, Duration retry_after,
                                             std::size_t class_index) {
    ++counts_.received;
    ++counts_.rejected;
    ++counts_of_class(settings(), class_index).rejected;
    ++counts_.rejected_before_admission;
    responder.respond(ticket, Response{ResponseStatus::rejected, {}, retry_after, false});
}

void RequestManager::cancel(RequestId request_id) {
    OpenRequest* request = open_requests_.find(request_id);
    if (request == nullptr || request->answered)
        return;
    request->answered = true;
    --unanswered_count_;
    ++counts_.cancelled;
    const bool not_running = request->state == RequestState::queued ||
                             request->state == RequestState::suspended ||
                             request->state == RequestState::awaiting_shared_result;
    post_event(policy::Cancelled{request_id}, not_running ? request_id : 0);
}

void RequestManager::drain(Timestamp deadline) {
    if (draining_)
        return;
    draining_ = true;
    shutdown_deadline_ = deadline;
    post_event(policy::DrainStarted{deadline});
}

void RequestManager::check_health(bool deep, std::function<void(bool)> on_result) {
    if (!started_ || !deep || health_is_cached_ || health_checks_.size() >= max_pending_health_checks)
        return on_result(started_ && healthy_);
    const std::uint64_t query_id = ++last_query_id_;
    health_checks_[query_id] = {
        std::move(on_result), timers_.schedule(now() + health_check_timeout,
                                               [this, query_id] { health_check_finished(query_id, false); })};
    if (!executor_->request_health_check(query_id))
        health_check_finished(query_id, false);
}
void RequestManager::health_check_finished(std::uint64_t query_id, bool passed) {
    const auto it = health_checks_.find(query_id);
    if (it == health_checks_.end())
        return;
    HealthCheck check = std::move(it->second);
    health_checks_.erase(it);
    timers_.cancel(check.timeout_timer);
    check.on_result(passed && healthy_);
}

void RequestManager::run_finished(RequestId request_id, RunResult run_result, std::string_view body) {
    OpenRequest* request = open_requests_.find(request_id);
    // Guards against the end of a run that is known to be over, told twice across a broken link.
    if (request == nullptr || request->state == RequestState::finished ||
        request->state == RequestState::queued)
        return;
    ++counts_.runs_finished;
    timers_.cancel(request->call_timer);
    if (request->state == RequestState::awaiting_call_reply)
        dependency_client_->abandon(request_id);
    const policy::Settings& request_settings = settings_of(*request);
    if (run_result == RunResult::killed && !request->answered && request->suspend_requested &&
        request_settings.preemption != policy::Preemption::none) {
        // Paused is not over: the request keeps its progress, and Run takes it up again.
        request->suspend_requested = false;
        request->state = request_settings.preemption == policy::Preemption::pause ? RequestState::suspended
                                                                                  : RequestState::queued;
        return post_event(policy::RunFinished{request_id, Outcome::cancelled});
    }
    request->state = RequestState::finished;
    Outcome outcome = Outcome::cancelled;
    if (run_result == RunResult::succeeded) {
        outcome = Outcome::ok;
        respond(*request, Response{ResponseStatus::served, body, Duration(0), false});
    } else if (run_result == RunResult::failed) {
        outcome = Outcome::error;
        request->has_failed = true;
        respond(*request, Response{});
    } else if (run_result == RunResult::noop) {
        outcome = Outcome::not_started;
    }
    finish_record(*request, request_id, run_result == RunResult::succeeded, body);
    post_event(policy::RunFinished{request_id, outcome}, request_id);
}

void RequestManager::dependency_call_requested(RequestId request_id, std::uint64_t call_id,
                                               std::string body) {
    OpenRequest* request = open_requests_.find(request_id);
    if (request == nullptr ||
        (request->state != RequestState::running && request->state != RequestState::suspended))
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
    timers_.cancel(request->call_timer);
    if (outcome == Outcome::ok) {
        request->state = RequestState::running;
        request->call_body.clear();
        executor_->deliver_call_reply(request_id, reply);
    } else {
        request->state = RequestState::awaiting_call_decision;
        request->has_failed = true;
        // Only these prove that nothing ran below; after anything else an effect may stand.
        request->call_may_have_effect = outcome != Outcome::rejected && outcome != Outcome::connect_failed;
    }
    post_event(policy::DependencyCallFinished{request_id, outcome, now() - request->called_at});
}

// ---- the Controller and its actions ----

void RequestManager::post_event(policy::Event event, RequestId released_id) {
    // Each event of a request goes to the Controller that it came in with; the notice to leave goes to all.
    if (std::holds_alternative<policy::DrainStarted>(event)) {
        for (std::uint64_t g = oldest_generation_; g <= newest_generation(); ++g)
            post_event_to(g, event, 0);
        return;
    }
    const policy::RequestId id = std::visit(
        [](const auto& e) -> policy::RequestId {
            if constexpr (requires { e.id; })
                return e.id;
            return 0;
        },
        event);
    const OpenRequest* request = id != 0 ? open_requests_.find(id) : nullptr;
    post_event_to(request != nullptr ? request->generation : newest_generation(), std::move(event),
                  released_id);
}

void RequestManager::post_event_to(std::uint64_t generation, policy::Event event, RequestId released_id) {
    event_queue_.push_back({std::move(event), released_id, generation});
    if (dispatching_)
        return;
    dispatching_ = true;
    while (!event_queue_.empty()) {
        const QueuedEvent next = std::move(event_queue_.front());
        event_queue_.pop_front();
        if (SettingsGeneration* g = find_generation(next.generation); g != nullptr) {
            actions_.clear();
            handling_generation_ = next.generation;
            g->controller->handle(now(), next.event, actions_);
            for (const auto& action : actions_)
                std::visit([this](const auto& a) { apply(a); }, action);
        }
        if (next.released_id != 0)
            release(next.released_id);
    }
    drop_unused_generations();
    dispatching_ = false;
}

void RequestManager::respond(OpenRequest& request, const Response& response) {
    if (request.answered)
        return;
    request.answered = true;
    --unanswered_count_;
    ++(response.status == ResponseStatus::served     ? counts_.served
       : response.status == ResponseStatus::rejected ? counts_.rejected
                                                     : counts_.failed);
    ClassCounts& class_counts = counts_of_class(settings_of(request), request.incoming.class_index);
    ++(response.status == ResponseStatus::served     ? class_counts.served
       : response.status == ResponseStatus::rejected ? class_counts.rejected
                                                     : class_counts.failed);
    if (response.status == ResponseStatus::served) {
        const Duration latency = std::max(Duration(0), now() - request.incoming.accepted_at);
        const auto& classes = settings_of(request).classes;
        class_counts.latency.record(latency);
        class_counts.served_late += request.incoming.class_index < classes.size() &&
                                            latency > classes[request.incoming.class_index].latency_objective
                                        ? 1
                                        : 0;
    }
    request.responder->respond(request.ticket, response);
}

void RequestManager::release(RequestId request_id) {
    OpenRequest* request = open_requests_.find(request_id);
    if (request == nullptr)
        return;
    respond(*request,
            Response{});  // guards against an end that leaves an answer owed: the run is over either way
    timers_.cancel(request->call_timer);
    if (request->state != RequestState::finished)
        finish_record(*request, request_id, false, {});
    executor_->release(request_id);
    if (SettingsGeneration* g = find_generation(request->generation); g != nullptr)
        --g->open_requests;
    ids_by_external_id_.erase(request->incoming.external_id);
    open_requests_.erase(request_id);
}

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
    if (request->has_run &&
        settings_of(*request).classes[request->incoming.class_index].idempotency != Idempotency::always) {
        // One run, ever: a run that was discarded half-way may have had its effect.
        spdlog::error("second run withheld: {}", request->incoming.external_id);
        request->has_failed = true;
        return post_event(policy::RunFinished{action.id, Outcome::error}, action.id);
    }
    request->state = RequestState::running;
    request->has_run = true;
    ++counts_.runs_started;
    ++counts_of_class(settings_of(*request), request->incoming.class_index).runs_started;
    const IncomingRequest& incoming = request->incoming;
    executor_->run({action.id, incoming.external_id, settings_of(*request).classes[incoming.class_index].name,
                    incoming.body, incoming.reserved_kb, incoming.accepted_at, request->deadline,
                    incoming.idempotency_key});
}

void RequestManager::apply(const policy::Reject& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr)
        return;
    if (request->has_run) {
        // A refusal promises that the try never ran.
        spdlog::error("refusal of a request that ran turned into a failure: {}",
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
    const bool late = !request->has_failed && request->has_run;
    respond(
        *request,
        Response{late ? ResponseStatus::deadline_exceeded : ResponseStatus::failed, {}, Duration(0), false});
    if (request->state == RequestState::queued || request->state == RequestState::suspended ||
        request->state == RequestState::awaiting_shared_result)
        release(action.id);
}

void RequestManager::apply(const policy::Suspend& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->state != RequestState::running)
        return;
    request->suspend_requested = true;
    executor_->suspend(action.id);
}

void RequestManager::apply(const policy::CallDependency& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->state != RequestState::awaiting_call_decision)
        return;
    if (request->call_may_have_effect &&
        settings_of(*request).classes[request->incoming.class_index].idempotency != Idempotency::always) {
        spdlog::error("second call withheld, the first may have had its effect: {}",
                      request->incoming.external_id);
        return post_event(policy::DependencyCallFinished{action.id, Outcome::error, Duration(0)});
    }
    request->state = RequestState::awaiting_call_reply;
    request->called_at = now();
    const Timestamp deadline = action.timeout > Duration(0)
                                   ? std::min(request->called_at + action.timeout, request->deadline)
                                   : request->deadline;
    const RequestId request_id = action.id;
    request->call_timer = timers_.schedule(deadline, [this, request_id] {
        if (OpenRequest* late = open_requests_.find(request_id); late != nullptr)
            late->call_timer = 0;
        dependency_client_->abandon(request_id);
        dependency_call_finished(request_id, Outcome::timeout, {});
    });
    dependency_client_->call(request_id, request->incoming.external_id, request->call_body, deadline);
}

void RequestManager::apply(const policy::SkipDependencyCall& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->state != RequestState::awaiting_call_decision)
        return;
    request->state = RequestState::running;
    executor_->skip_call(action.id, request->call_id);
}

void RequestManager::apply(const policy::SetHealth& action) {
    if (action.healthy != healthy_)
        spdlog::info("health: {}", action.healthy ? "good" : "bad");
    healthy_ = action.healthy;
    health_is_cached_ = action.from_cache;
}
void RequestManager::apply(const policy::SetIdleTimeout& action) {
    connection_settings_->set_idle_timeout(action.timeout);
}
void RequestManager::apply(const policy::AdvertiseLoad&) {}  // no answer has a field for it on either front
void RequestManager::apply(const policy::WriteLog& action) {
    spdlog::info("controller: {}", action.text);
}

// ---- timers ----

void RequestManager::apply(const policy::ScheduleTimer& action) {
    timers_.schedule(latest_time_ + action.delay, [this, to = handling_generation_, token = action.token] {
        request_timer_gauges(to, token);
    });
}

// Each Wake gets one Timer, with gauges read for it; without them where the executor cannot say in time.
void RequestManager::request_timer_gauges(std::uint64_t generation, std::uint32_t token) {
    if (find_generation(generation) == nullptr)
        return;  // dropped: nobody waits for it
    const std::uint64_t query_id = ++last_query_id_;
    gauge_queries_[query_id] = {generation, token, timers_.schedule(now() + gauges_timeout, [this, query_id] {
                                    deliver_timer(query_id, {});
                                })};
    if (!executor_->request_gauges(query_id))
        deliver_timer(query_id, {});
}
void RequestManager::gauges_received(std::uint64_t query_id, const policy::Gauges& gauges) {
    deliver_timer(query_id, gauges);
}
void RequestManager::deliver_timer(std::uint64_t query_id, const policy::Gauges& gauges) {
    const auto it = gauge_queries_.find(query_id);
    if (it == gauge_queries_.end())
        return;
    GaugeQuery query = it->second;
    gauge_queries_.erase(it);
    timers_.cancel(query.timeout_timer);
    post_event_to(query.generation, policy::TimerFired{query.timer_token, gauges}, 0);
}

// ---- kept keys ----

// By the class's name, whatever the generation: what has run under older settings has run all the same, and a repeat
// that comes after a reload shares its outcome.
std::string RequestManager::record_key(const policy::Settings& settings_of_request,
                                       const IncomingRequest& request) {
    return settings_of_request.classes[request.class_index].name + ':' + request.idempotency_key;
}
std::string RequestManager::record_key(const OpenRequest& request) {
    return record_key(settings_of(request), request.incoming);
}

RequestManager::PayloadDigest RequestManager::digest_payload(const IncomingRequest& request) {
    const XXH128_hash_t hash = XXH3_128bits(request.body.data(), request.body.size());
    return {hash.high64, hash.low64};
}
// What stands under its key, if it came within the window: it is when a try reached the machine that counts, no matter how
// late it is read.
const RequestManager::IdempotencyRecord* RequestManager::find_retained(const IncomingRequest& request) const {
    if (request.idempotency_key.empty())
        return nullptr;
    const auto it = idempotency_records_.find(record_key(settings(), request));
    return it != idempotency_records_.end() && request.accepted_at <= it->second.retained_until ? &it->second
                                                                                                : nullptr;
}

RequestId RequestManager::repeated_request_id(const IdempotencyRecord& record,
                                              const policy::RequestClass& request_class) {
    if (request_class.idempotency == Idempotency::always && record.finished &&
        (!record.succeeded || now() - record.finished_at > settings().result_ttl))
        return 0;
    return record.owner_id;
}

void RequestManager::apply(const policy::RetainKey& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->incoming.idempotency_key.empty())
        return;
    const policy::Settings& request_settings = settings_of(*request);
    const Idempotency idempotency = request_settings.classes[request->incoming.class_index].idempotency;
    if (idempotency == Idempotency::never ||
        (idempotency == Idempotency::always && request_settings.result_ttl <= Duration(0)))
        return;
    const std::string key = record_key(*request);
    if (idempotency_records_.size() >= max_idempotency_keys && idempotency_records_.count(key) == 0) {
        spdlog::warn("key not kept: the table of keys is full");
        return;
    }
    IdempotencyRecord& record = idempotency_records_[key];
    timers_.cancel(record.expiry_timer);
    if (record.owner_id != action.id && (record.finished || now() > record.retained_until)) {
        // Its time is over: what comes from here on repeats the new one, and must not get the old one's result.
        for (const RequestId w : std::exchange(record.waiter_ids, {}))
            share_result(w, IdempotencyRecord{});
        retained_bytes_ -= record.result.size();
        record.result.clear();
        record.finished = record.succeeded = false;
    }
    record.owner_id = action.id;
    record.payload_digest = digest_payload(request->incoming);
    record.retained_until = now() + action.duration;
    // Guards what must not run twice against a try that came within the window and is read after it: it stays known
    // for as long as such a try could still be run.
    const Duration late = idempotency == Idempotency::with_key
                              ? request_settings.classes[request->incoming.class_index].answer_deadline
                              : Duration(0);
    record.expiry_timer = timers_.schedule(record.retained_until + late, [this, key] { drop_record(key); });
}
void RequestManager::apply(const policy::ReleaseKey& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->incoming.idempotency_key.empty())
        return;
    const std::string key = record_key(*request);
    if (const auto it = idempotency_records_.find(key);
        it != idempotency_records_.end() && it->second.owner_id == action.id)
        drop_record(key);
}
void RequestManager::drop_record(const std::string& key) {
    const auto it = idempotency_records_.find(key);
    if (it == idempotency_records_.end())
        return;
    IdempotencyRecord record = std::move(it->second);
    idempotency_records_.erase(it);
    timers_.cancel(record.expiry_timer);
    retained_bytes_ -= record.result.size();
    record.succeeded = false;
    for (const RequestId no : record.waiter_ids)
        share_result(no, record);
}
void RequestManager::finish_record(const OpenRequest& request, RequestId request_id, bool succeeded,
                                   std::string_view result) {
    if (request.incoming.idempotency_key.empty())
        return;
    const auto it = idempotency_records_.find(record_key(request));
    if (it == idempotency_records_.end() || it->second.owner_id != request_id)
        return;
    IdempotencyRecord& record = it->second;
    record.finished = true;
    record.finished_at = now();
    record.succeeded = succeeded && retained_bytes_ + result.size() <= max_retained_result_bytes;
    if (record.succeeded) {
        record.result = std::string(result);
        retained_bytes_ += record.result.size();
    }
    const std::vector<RequestId> waiter_ids = std::exchange(record.waiter_ids, {});
    for (const RequestId w : waiter_ids)
        share_result(w, record);
}
void RequestManager::share_result(RequestId request_id, const IdempotencyRecord& record) {
    OpenRequest* request = open_requests_.find(request_id);
    if (request == nullptr || request->state != RequestState::awaiting_shared_result)
        return;
    request->state = RequestState::finished;
    request->has_failed = !record.succeeded;
    respond(*request, record.succeeded ? Response{ResponseStatus::served, record.result, Duration(0), false}
                                       : Response{});
    post_event(policy::RunFinished{request_id, record.succeeded ? Outcome::ok : Outcome::error}, request_id);
}
void RequestManager::apply(const policy::ReplayResult& action) {
    OpenRequest* request = open_requests_.find(action.id);
    if (request == nullptr || request->state != RequestState::queued)
        return;
    request->state = RequestState::awaiting_shared_result;
    request->has_run = true;  // shares the outcome of a run: never refused from here
    const auto it = idempotency_records_.find(record_key(*request));
    if (it == idempotency_records_.end())
        return share_result(action.id, IdempotencyRecord{});
    if (it->second.finished)
        return share_result(action.id, it->second);
    it->second.waiter_ids.push_back(action.id);
}

}  // namespace cressledge::request
