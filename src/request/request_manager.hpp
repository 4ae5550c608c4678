/// The request manager: tracks every open request and sends its single response.
///
/// It owns the open requests, their idempotency records, the settings generations and the counters. The decision to
/// run, reject or fail a request is the admission controller's: every event is passed to it, and its actions are
/// applied in order before the next event is handled. The request manager is independent of protocols, sockets and
/// the event loop: it reaches frontends, executor and dependency through interfaces and gets the time from a `Clock`
/// and a `TimerQueue`.
///
/// Invariants, for any actions of the controller and any reports of the executor:
/// - a request gets at most one response, and exactly one unless its caller stops waiting;
/// - a request that has run is never rejected;
/// - only a read runs, or makes the same dependency call, more than once, also if its id comes again later;
/// - no dependency call is made for a request that was answered or whose caller has left;
/// - resources that one settings generation releases are offered to the others, the oldest first.
///
/// Not thread-safe: all calls are made on the thread of the event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/log_rate_limiter.hpp"
#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "request/connection_settings_sink.hpp"
#include "request/dependency_client.hpp"
#include "request/executor.hpp"
#include "request/executor_queries.hpp"
#include "request/idempotency_store.hpp"
#include "request/incoming_request.hpp"
#include "request/open_request.hpp"
#include "request/request_counters.hpp"
#include "request/run_id_registry.hpp"
#include "request/settings_generations.hpp"

namespace cressledge::request {

using base::Clock;
using base::LatencyHistogram;
using base::LogRateLimiter;
using base::SlotId;
using base::SlotMap;
using base::TimerQueue;

/// Manages open requests as described at the top of this file. Usage: construct, `attach`, optionally `restore`,
/// `start`, then submit requests.
class RequestManager {
public:
    using ClassCounts = request::ClassCounts;

    /// `controller` must have been created for `settings`. The clock and the timers must outlive the manager.
    RequestManager(policy::Settings settings, std::unique_ptr<policy::AdmissionController> controller,
                   Clock& clock, TimerQueue& timers);

    /// Sets the interfaces that the manager calls. All three must outlive it. Must be called before `start`.
    void attach(Executor& executor, DependencyClient& dependency_client,
                ConnectionSettingsSink& connection_settings);

    /// Starts to admit requests. The executor must be running; `executor_started_at` may lie in the past. Later calls
    /// do nothing.
    void start(Timestamp executor_started_at);
    /// Whether `start` has been called.
    bool started() const { return started_; }

    // ---- settings ----

    /// Returns the index of a class in the newest settings, or `policy::unknown_index` if there is no such class.
    std::size_t class_index_of(std::string_view name) const;
    /// Returns the index of a tenant in the newest settings, or `policy::unknown_index` if there is no such tenant.
    std::size_t tenant_index_of(std::string_view name) const;

    /// The newest settings.
    const policy::Settings& settings() const { return generations_.newest().settings; }

    /// Adds a settings generation with a controller created for it. The controller takes over the estimates of the
    /// previous one and handles every new request. Each open request keeps the controller and the class it was
    /// submitted under.
    void reconfigure(policy::Settings settings, std::unique_ptr<policy::AdmissionController> controller);

    /// Number of settings generations kept. An older one is kept while it, or one before it, has open requests.
    std::size_t generation_count() const { return generations_.size(); }

    // ---- for frontends ----

    /// Submits a request. The response may be given before this returns; returns 0 if the request is then no longer
    /// open. Throws `std::out_of_range` if `request.class_index` is not valid.
    RequestId submit(IncomingRequest request, Responder& responder, std::uint64_t ticket);

    /// Rejects a request that was read completely but exceeds a limit of the program itself. The request is not
    /// passed to the admission controller. `class_index` may be `policy::unknown_index`.
    void reject_before_admission(Responder& responder, std::uint64_t ticket, Duration retry_after,
                                 std::size_t class_index);

    /// Cancels a request whose caller no longer waits for a response. Ignored if it was already answered.
    void cancel(RequestId request_id);

    /// Starts the graceful shutdown, of which the notice has come now. The process exits at `deadline`. Later calls do
    /// nothing.
    void drain(Timestamp deadline);
    /// Whether the graceful shutdown has started.
    bool draining() const { return draining_; }
    /// When the notice of the shutdown came. Valid only while draining.
    Timestamp shutdown_noticed_at() const { return shutdown_noticed_at_; }
    /// The absolute time at which the process exits. Valid only while draining.
    Timestamp shutdown_deadline() const { return shutdown_deadline_; }

    /// Calls `on_result` with whether the process is healthy, at once or later. A deep check queries the executor
    /// unless the controller has requested cached results or too many checks are pending. Any other check reports the
    /// last known state.
    void check_health(bool deep, std::function<void(bool)> on_result);

    /// Number of open requests that have not been answered.
    std::size_t unanswered_count() const { return unanswered_count_; }
    /// Number of dependency calls whose end has not been reported, over all settings generations.
    std::size_t dependency_calls_in_flight();

    // ---- for the executor and the dependency client ----

    /// Handles the end of a run. `body` is its result if it succeeded. Ignored if the request has no run in progress.
    void run_finished(RequestId request_id, RunResult run_result, std::string_view body);

    /// Handles a run's request for a dependency call with payload `body`. `call_id` identifies the call for
    /// `Executor::skip_call`.
    void dependency_call_requested(RequestId request_id, std::uint64_t call_id, std::string body);

    /// Handles the end of a dependency call. `reply` is valid only if `outcome` is ok.
    void dependency_call_finished(RequestId request_id, policy::Outcome outcome, std::string_view reply);

    /// Handles the executor's reply to `Executor::request_gauges`.
    void gauges_received(std::uint64_t query_id, const policy::Gauges& gauges);
    /// Handles the executor's reply to `Executor::request_health_check`.
    void health_check_finished(std::uint64_t query_id, bool passed);

    // ---- time, estimates and counts ----

    /// The controller's clock: the latest Unix time read. It does not go backwards when the system clock is set back.
    Timestamp now();

    /// The current estimates of the newest controller.
    policy::Estimates estimates() const { return generations_.newest().controller->estimates(); }

    /// Restores saved estimates in the newest controller. Has an effect only before `start`.
    void restore(const policy::Estimates& estimates) { generations_.newest().controller->restore(estimates); }

    /// Counts over all classes since the start of the process.
    const RequestCounts& counts() const { return counters_.totals(); }
    /// Counts by class name since the start of the process.
    const std::map<std::string, ClassCounts>& counts_by_class() const { return counters_.by_class(); }

private:
    /// An event to be handled after the previous ones.
    struct QueuedEvent {
        policy::Event event;
        /// The request to release after the event has been handled. 0 if none.
        RequestId released_id = 0;
        /// Serial number of the settings generation whose controller handles the event.
        std::uint64_t generation = 0;
    };

    // Submission.
    std::optional<std::string_view> rejection_reason(const IncomingRequest& request) const;
    bool is_id_in_use(const IncomingRequest& request);
    bool lacks_capacity_for_key(const IncomingRequest& request) const;
    void log_rejection(std::string_view reason);
    bool has_payload_conflict(const IdempotencyRecord& record, const IncomingRequest& request) const;
    RequestId reject_malformed(Responder& responder, std::uint64_t ticket, std::size_t class_index);
    RequestId open(IncomingRequest request, Responder& responder, std::uint64_t ticket,
                   Timestamp received_at);
    policy::RequestArrived arrival_event(RequestId request_id, RequestId repeated_id, Timestamp received_at);

    // Event dispatch.
    void post_event(policy::Event event, RequestId released_id = 0);
    void post_event_to(std::uint64_t generation, policy::Event event, RequestId released_id);
    void dispatch(const QueuedEvent& queued_event);
    void handle_in(std::uint64_t generation_serial, const policy::Event& event);
    void offer_resources(std::uint64_t first_generation, std::uint64_t last_generation);
    void apply_actions();
    void drop_unused_generations();
    void update_health();

    // Completion of requests.
    void respond(OpenRequest& request, const Response& response);
    void release(RequestId request_id);
    void mark_suspended(OpenRequest& request, RequestId request_id);
    policy::Outcome respond_to_run(OpenRequest& request, RunResult run_result, std::string_view body);

    // Settings under which a request was submitted.
    const policy::Settings& settings_of(const OpenRequest& request);
    const policy::RequestClass& class_of(const OpenRequest& request);

    // Idempotency.
    static std::string record_key(const policy::Settings& settings, const IncomingRequest& request);
    const IdempotencyRecord* find_record(const IncomingRequest& request) const;
    RequestId repeated_request_id(const IdempotencyRecord& record, const policy::RequestClass& request_class);
    void finish_record(const OpenRequest& request, RequestId request_id, bool succeeded,
                       std::string_view result);
    void replay_result(RequestId request_id, const IdempotencyRecord& record);

    void time_out_call(RequestId request_id);
    void log_call_failure(const OpenRequest& request, policy::Outcome outcome);
    void request_timer_gauges(std::uint64_t generation, std::uint32_t timer_token);

    // Actions; defined in request_manager_actions.cpp.
    void apply(const policy::Run& action);
    void apply(const policy::Reject& action);
    void apply(const policy::Fail& action);
    void apply(const policy::Suspend& action);
    void apply(const policy::CallDependency& action);
    void apply(const policy::SkipDependencyCall& action);
    void apply(const policy::RetainKey& action);
    void apply(const policy::ReleaseKey& action);
    void apply(const policy::ReplayResult& action);
    void apply(const policy::SetHealth& action);
    void apply(const policy::SetIdleTimeout& action);
    void apply(const policy::AdvertiseLoad& action);
    void apply(const policy::ScheduleTimer& action);
    void apply(const policy::WriteLog& action);

    Clock& clock_;
    TimerQueue& timers_;
    Executor* executor_ = nullptr;
    DependencyClient* dependency_client_ = nullptr;
    ConnectionSettingsSink* connection_settings_ = nullptr;

    SettingsGenerations generations_;
    SlotMap<OpenRequest> open_requests_;
    /// Contains every open request.
    std::unordered_map<std::string, RequestId> ids_by_external_id_;
    IdempotencyStore idempotency_store_;
    RunIdRegistry run_ids_;
    ExecutorQueries executor_queries_;
    RequestCounters counters_;
    std::size_t unanswered_count_ = 0;

    std::deque<QueuedEvent> event_queue_;
    /// The actions being applied.
    std::vector<policy::Action> actions_;
    /// Serial number of the generation whose controller returned `actions_`.
    std::uint64_t handling_generation_ = 0;
    /// Whether an event is being handled. New events are queued meanwhile.
    bool dispatching_ = false;

    /// The latest time returned by `now`.
    Timestamp latest_time_{0};
    bool started_ = false;
    bool draining_ = false;
    Timestamp shutdown_noticed_at_{0};
    Timestamp shutdown_deadline_{0};
    /// The health of the process as the controllers last set it.
    policy::SetHealth health_;

    LogRateLimiter rejection_log_limiter_;
    LogRateLimiter key_mismatch_log_limiter_;
    LogRateLimiter id_reuse_log_limiter_;
    LogRateLimiter call_failure_log_limiter_;
};

}  // namespace cressledge::request
