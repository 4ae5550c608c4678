#include "request/request_manager.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"

namespace cressledge::request {
namespace {

template <class Named>
std::size_t index_of(const std::vector<Named>& items, std::string_view name) {
    const auto it =
        std::find_if(items.begin(), items.end(), [name](const Named& item) { return item.name == name; });
    return it != items.end() ? static_cast<std::size_t>(it - items.begin()) : policy::unknown_index;
}

/// Returns the id of the request that an event concerns, or 0 if it concerns none.
policy::RequestId request_id_of(const policy::Event& event) {
    return std::visit(
        [](const auto& alternative) -> policy::RequestId {
            if constexpr (requires { alternative.id; })
                return alternative.id;
            return 0;
        },
        event);
}

std::string_view idempotency_name(policy::Idempotency idempotency) {
    switch (idempotency) {
        case policy::Idempotency::always:
            return "always";
        case policy::Idempotency::with_key:
            return "with_key";
        case policy::Idempotency::never:
            break;
    }
    return "never";
}

void log_classes(const policy::Settings& settings, std::uint64_t generation) {
    for (const policy::RequestClass& request_class : settings.classes)
        base::log_info(
            "settings: class applied generation={} class={} may_run={} deadline_ms={} key_window_ms={}",
            generation, request_class.name, idempotency_name(request_class.idempotency),
            request_class.answer_deadline.count() / 1000, request_class.idempotency_window.count() / 1000);
}

}  // namespace

RequestManager::RequestManager(policy::Settings settings,
                               std::unique_ptr<policy::AdmissionController> controller, Clock& clock,
                               TimerQueue& timers)
    : clock_(clock),
      timers_(timers),
      generations_(std::move(settings), std::move(controller)),
      idempotency_store_(
          timers,
          [this](RequestId repeat_id, const IdempotencyRecord& record) { replay_result(repeat_id, record); }),
      executor_queries_(timers) {}

void RequestManager::attach(Executor& executor, DependencyClient& dependency_client,
                            ConnectionSettingsSink& connection_settings) {
    executor_ = &executor;
    dependency_client_ = &dependency_client;
    connection_settings_ = &connection_settings;
}

Timestamp RequestManager::now() {
    latest_time_ = std::max(latest_time_, clock_.unix_now());
    return latest_time_;
}

void RequestManager::start(Timestamp executor_started_at) {
    if (started_)
        return;
    started_ = true;
    // The controller is given the start of the executor as its start time, since the server warms up from then on.
    latest_time_ = std::min(executor_started_at, clock_.unix_now());
    actions_.clear();
    dispatching_ = true;
    handling_generation_ = generations_.newest_serial();
    generations_.newest().controller->handle(latest_time_, policy::Started{}, actions_);
    now();
    apply_actions();
    dispatching_ = false;
}

// ---- settings ----

std::size_t RequestManager::class_index_of(std::string_view name) const {
    return index_of(settings().classes, name);
}

std::size_t RequestManager::tenant_index_of(std::string_view name) const {
    return index_of(settings().tenants, name);
}

void RequestManager::reconfigure(policy::Settings settings,
                                 std::unique_ptr<policy::AdmissionController> controller) {
    generations_.add(std::move(settings), std::move(controller));
    const std::uint64_t serial = generations_.newest_serial();
    base::log_info("settings: generation applied generation={} classes={} unanswered={}", serial,
                   generations_.newest().settings.classes.size(), unanswered_count_);
    log_classes(generations_.newest().settings, serial);
    if (started_)
        post_event_to(serial, policy::Started{}, 0);
    if (draining_) {
        const Duration since_notice = now() - shutdown_noticed_at_;
        base::log_info("settings: generation applied during a shutdown generation={} since_notice_ms={}",
                       serial, since_notice.count() / 1000);
        post_event_to(serial, policy::DrainStarted{shutdown_deadline_, shutdown_noticed_at_}, 0);
    }
    drop_unused_generations();
}

void RequestManager::drop_unused_generations() {
    generations_.drop_unused();
    update_health();
}

const policy::Settings& RequestManager::settings_of(const OpenRequest& request) {
    return generations_.find(request.generation)->settings;
}

const policy::RequestClass& RequestManager::class_of(const OpenRequest& request) {
    return settings_of(request).classes[request.incoming.class_index];
}

// ---- events ----

void RequestManager::drain(Timestamp deadline) {
    if (draining_)
        return;
    draining_ = true;
    shutdown_noticed_at_ = now();
    shutdown_deadline_ = deadline;
    post_event(policy::DrainStarted{deadline, shutdown_noticed_at_});
}

void RequestManager::check_health(bool deep, std::function<void(bool)> on_result) {
    const bool queries_executor =
        started_ && deep && !health_.from_cache && !executor_queries_.health_checks_full();
    if (!queries_executor)
        return on_result(started_ && health_.healthy);
    executor_queries_.query_health(*executor_, now(), [this, on_result = std::move(on_result)](bool passed) {
        on_result(passed && health_.healthy);
    });
}

void RequestManager::health_check_finished(std::uint64_t query_id, bool passed) {
    executor_queries_.health_check_finished(query_id, passed);
}

void RequestManager::gauges_received(std::uint64_t query_id, const policy::Gauges& gauges) {
    executor_queries_.gauges_received(query_id, gauges);
}

// An event that concerns a request is passed to the controller under which the request was submitted, the start of the
// graceful shutdown to all controllers, and any other event to the newest controller.
void RequestManager::post_event(policy::Event event, RequestId released_id) {
    if (std::holds_alternative<policy::DrainStarted>(event)) {
        for (std::uint64_t serial = generations_.oldest_serial(); serial <= generations_.newest_serial();
             ++serial)
            post_event_to(serial, event, 0);
        return;
    }
    const policy::RequestId request_id = request_id_of(event);
    const OpenRequest* request = request_id != 0 ? open_requests_.find(request_id) : nullptr;
    const std::uint64_t generation = request != nullptr ? request->generation : generations_.newest_serial();
    post_event_to(generation, event, released_id);
}

void RequestManager::post_event_to(std::uint64_t generation, policy::Event event, RequestId released_id) {
    event_queue_.push_back({event, released_id, generation});
    if (dispatching_)
        return;
    dispatching_ = true;
    while (!event_queue_.empty()) {
        const QueuedEvent next = event_queue_.front();
        event_queue_.pop_front();
        dispatch(next);
    }
    drop_unused_generations();
    dispatching_ = false;
}

// Older generations come first: a share of resources that grows with time is theirs before the generation that handles
// the event can take it.
void RequestManager::dispatch(const QueuedEvent& queued_event) {
    offer_resources(generations_.oldest_serial(), queued_event.generation);
    handle_in(queued_event.generation, queued_event.event);
    if (queued_event.released_id != 0)
        release(queued_event.released_id);
    offer_resources(generations_.oldest_serial(), queued_event.generation);
    offer_resources(queued_event.generation + 1, generations_.newest_serial() + 1);
}

// Offers them to the generations from `first_generation` up to, but without, `last_generation`.
void RequestManager::offer_resources(std::uint64_t first_generation, std::uint64_t last_generation) {
    for (std::uint64_t serial = first_generation; serial < last_generation; ++serial)
        handle_in(serial, policy::ResourcesChanged{});
}

void RequestManager::handle_in(std::uint64_t generation_serial, const policy::Event& event) {
    SettingsGeneration* generation = generations_.find(generation_serial);
    if (generation == nullptr)
        return;
    actions_.clear();
    handling_generation_ = generation_serial;
    generation->controller->handle(now(), event, actions_);
    apply_actions();
}

void RequestManager::apply_actions() {
    for (const policy::Action& action : actions_)
        std::visit([this](const auto& alternative) { apply(alternative); }, action);
}

// ---- completion of requests ----

void RequestManager::respond(OpenRequest& request, const Response& response) {
    if (request.answered)
        return;
    request.answered = true;
    --unanswered_count_;
    const policy::Settings& request_settings = settings_of(request);
    const std::size_t class_index = request.incoming.class_index;
    counters_.count_response(request_settings, class_index, response.status);
    if (response.status == ResponseStatus::served) {
        const Duration latency = std::max(Duration(0), now() - request.incoming.accepted_at);
        counters_.count_latency(request_settings, class_index, latency);
    }
    request.responder->respond(request.ticket, response);
}

void RequestManager::release(RequestId request_id) {
    OpenRequest* request = open_requests_.find(request_id);
    if (request == nullptr)
        return;
    // The run has ended; the caller must get a response before the request is removed. Does nothing if it already has
    // one.
    respond(*request, Response{});
    if (request->state != RequestState::finished)
        finish_record(*request, request_id, false, {});
    executor_->release(request_id);
    if (SettingsGeneration* generation = generations_.find(request->generation); generation != nullptr)
        --generation->open_requests;
    ids_by_external_id_.erase(request->incoming.external_id);
    open_requests_.erase(request_id);
}

}  // namespace cressledge::request
