/// The request manager: every open request, and the one final response that each of them gets.
///
/// It owns the open requests, their idempotency records, the settings generations and the counts. It does not decide to
/// run, reject or fail a request: every event goes to the admission controller, whose actions are applied in order
/// before the next event. It knows no protocol, no socket and no event loop: frontends, executor and dependency stand
/// behind interfaces, time comes from a `Clock` and a `TimerQueue`.
///
/// Invariants, whatever the controller says and whatever the executor reports:
/// - a request gets at most one response, and exactly one unless its caller stops waiting;
/// - a request that has run is never rejected;
/// - only a read runs, or makes the same dependency call, more than once.
///
/// Not thread-safe: everything happens on the thread of the event loop.
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
#include "request/settings_generations.hpp"

namespace cressledge::request {

using base::Clock;
using base::LatencyHistogram;
using base::LogRateLimiter;
using base::SlotId;
using base::SlotMap;
using base::TimerQueue;

/// See the head of this file. Use: construct, `attach`, optionally `restore`, `start`, then submit requests.
class RequestManager {
public:
    using ClassCounts = request::ClassCounts;

    /// `controller` was made for `settings`. The clock and the timers must outlive the manager.
    RequestManager(policy::Settings settings, std::unique_ptr<policy::AdmissionController> controller,
                   Clock& clock, TimerQueue& timers);

    /// Connects the manager with what it drives; all three must outlive it. Required before `start`.
    void attach(Executor& executor, DependencyClient& dependency_client,
                ConnectionSettingsSink& connection_settings);

    /// Begins to admit requests: the executor is up. Its start may lie back a little. Later calls do nothing.
    void start(Timestamp executor_started_at);
    /// Whether `start` has been called.
    bool started() const { return started_; }

    // ---- settings ----

    /// The index of a class or tenant in the newest settings; `policy::unknown_index` where there is none.
    std::size_t class_index_of(std::string_view name) const;
    /// As `class_index_of`, for a tenant.
    std::size_t tenant_index_of(std::string_view name) const;

    /// The newest settings.
    const policy::Settings& settings() const { return generations_.newest().settings; }

    /// Adds a settings generation with a controller made for it. The controller gets the estimates of the one before
    /// and every new request; each open request stays with the controller and the class that it came in with.
    void reconfigure(policy::Settings settings, std::unique_ptr<policy::AdmissionController> controller);

    /// How many settings generations are in use: those with open requests, and the newest.
    std::size_t generation_count() const { return generations_.size(); }

    // ---- for frontends ----

    /// Takes a request in. The response may come before this returns. Returns 0 where the request is not open any more.
    /// `request.class_index` must be valid. Throws `std::out_of_range` where it is not.
    RequestId submit(IncomingRequest request, Responder& responder, std::uint64_t ticket);

    /// Rejects a request that was read whole but is beyond a bound of the program itself; the controller does not see it.
    /// `class_index` may be `policy::unknown_index`.
    void reject_before_admission(Responder& responder, std::uint64_t ticket, Duration retry_after,
                                 std::size_t class_index);

    /// The caller no longer waits for a response.
    void cancel(RequestId request_id);

    /// Begins the graceful shutdown: the process ends at `deadline`. Later calls do nothing.
    void drain(Timestamp deadline);
    /// Whether the graceful shutdown has begun.
    bool draining() const { return draining_; }
    /// The absolute time at which the process ends; meaningful while draining only.
    Timestamp shutdown_deadline() const { return shutdown_deadline_; }

    /// Reports whether the process is healthy, at once or later. A deep check asks the executor where the controller
    /// wants that; any other gives the last known state.
    void check_health(bool deep, std::function<void(bool)> on_result);

    /// How many open requests still owe a response.
    std::size_t unanswered_count() const { return unanswered_count_; }

    // ---- for executor and dependency client ----

    /// A run has ended; `body` is its result where it succeeded. Ignored where no run is in progress.
    void run_finished(RequestId request_id, RunResult run_result, std::string_view body);

    /// A run waits for a dependency call with this payload. `call_id` names the call for `Executor::skip_call`.
    void dependency_call_requested(RequestId request_id, std::uint64_t call_id, std::string body);

    /// A dependency call has ended; `reply` is valid where the outcome is ok.
    void dependency_call_finished(RequestId request_id, policy::Outcome outcome, std::string_view reply);

    /// Answers to `Executor::request_gauges` and `Executor::request_health_check`.
    void gauges_received(std::uint64_t query_id, const policy::Gauges& gauges);
    /// The executor's answer to health check `query_id`.
    void health_check_finished(std::uint64_t query_id, bool passed);

    // ---- estimates and figures ----

    /// The controller's clock: the latest Unix time seen. It stands still where the system clock is set back.
    Timestamp now();

    /// The estimates of the newest controller.
    policy::Estimates learned() const { return generations_.newest().controller->estimates(); }

    /// Gives saved estimates to the newest controller. Has an effect before `start` only.
    void restore(const policy::Estimates& estimates) { generations_.newest().controller->restore(estimates); }

    /// Counts of all classes together since the start.
    const RequestCounts& counts() const { return counters_.totals(); }
    /// By the names of classes.
    const std::map<std::string, ClassCounts>& counts_by_class() const { return counters_.by_class(); }

private:
    /// An event that waits until the one before it has been handled.
    struct QueuedEvent {
        policy::Event event;
        /// This request is released once the event has been handled; 0: none.
        RequestId released_id = 0;
        std::uint64_t generation = 0;
    };

    // Submission.
    std::optional<std::string_view> exceeded_bound(const IncomingRequest& request) const;
    bool lacks_capacity_for_key(const IncomingRequest& request) const;
    void log_rejection(std::string_view bound);
    bool contradicts(const IdempotencyRecord& record, const IncomingRequest& request) const;
    RequestId reject_malformed(Responder& responder, std::uint64_t ticket, std::size_t class_index);
    RequestId open(IncomingRequest request, Responder& responder, std::uint64_t ticket,
                   Timestamp received_at);
    policy::RequestArrived arrival_event(RequestId request_id, RequestId repeated_id, Timestamp received_at);

    // Events.
    void post_event(policy::Event event, RequestId released_id = 0);
    void post_event_to(std::uint64_t generation, policy::Event event, RequestId released_id);
    void dispatch(const QueuedEvent& queued_event);
    void apply_actions();

    // Ends of requests.
    void respond(OpenRequest& request, const Response& response);
    void release(RequestId request_id);
    void mark_suspended(OpenRequest& request, RequestId request_id);
    policy::Outcome respond_to_run(OpenRequest& request, RunResult run_result, std::string_view body);

    // Settings of a request.
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
    void request_timer_gauges(std::uint64_t generation, std::uint32_t timer_token);

    // Actions: request_manager_actions.cpp.
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
    /// Of all open requests.
    std::unordered_map<std::string, RequestId> ids_by_external_id_;
    IdempotencyStore idempotency_store_;
    ExecutorQueries executor_queries_;
    RequestCounters counters_;
    std::size_t unanswered_count_ = 0;

    std::deque<QueuedEvent> event_queue_;
    /// The actions that are being applied, and the generation of the controller that asked for them.
    std::vector<policy::Action> actions_;
    std::uint64_t handling_generation_ = 0;
    /// Whether events are being handled: further ones are queued.
    bool dispatching_ = false;

    Timestamp latest_time_{0};
    bool started_ = false;
    bool draining_ = false;
    Timestamp shutdown_deadline_{0};
    /// The controller's last word on the health of the process.
    policy::SetHealth health_;

    LogRateLimiter rejection_log_limiter_;
    LogRateLimiter key_mismatch_log_limiter_;
};

}  // namespace cressledge::request
