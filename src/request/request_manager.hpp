// The core: requests, attempts and outcomes. It knows no wire and no event loop. Every event goes to the
// decision module (the Controller), whose actions are carried out in order before the next event. Nothing in
// here decides to run, refuse or fail a request; it only keeps the promises that the answers make.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/latency_histogram.hpp"
#include "base/log_rate_limiter.hpp"
#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"

namespace cressledge::request {

using base::Clock;
using base::Duration;
using base::LatencyHistogram;
using base::LogRateLimiter;
using base::SlotId;
using base::SlotMap;
using base::TimerQueue;
using base::Timestamp;

using RequestId = SlotId;

struct IncomingRequest {  // a request as a front read it
    std::string external_id;  // the id by which engine and records service know it
    std::size_t class_index = 0;
    std::size_t tenant_index = policy::unknown_index;
    std::uint64_t caller_id = 0;
    std::string
        idempotency_key;  // what a read is about, or the idempotency key where the class is keyed; empty: none
    bool is_retry = false;  // marked as a further try
    std::optional<Duration> max_wait;  // how long its caller waits from then on; none: the class says
    double expected_work_seconds = 0.0;  // seconds of work; 0: none
    double rank = 0.5;
    double reserved_kb = 0.0;
    Timestamp accepted_at{0};  // when it reached the machine, Unix clock
    std::string body;
};

enum class ResponseStatus { served, rejected, failed, deadline_exceeded, malformed };
struct Response {
    ResponseStatus status = ResponseStatus::failed;
    std::string_view body;  // served: the result, unchanged; valid during the call only
    Duration retry_after{0};  // refused: how long to stay away
    bool do_not_retry = false;  // refused: the wish that nobody else is tried
};

class Responder {
public:
    virtual ~Responder() = default;
    virtual void respond(std::uint64_t ticket, const Response& response) = 0;
};

struct Work {
    RequestId request_id = 0;
    std::string_view external_id, class_name, body;
    double reserved_kb = 0.0;
    Timestamp accepted_at{0}, deadline{0};
    std::string_view affinity_key;  // what a read is about; empty: none
};
class Executor {  // runs work; reports to Server::ended, needs, sampled and tested, later or at once
public:
    virtual ~Executor() = default;
    virtual void run(const Work& work) = 0;
    virtual void suspend(RequestId request_id) = 0;
    virtual void resume(RequestId request_id) = 0;
    virtual void deliver_call_reply(RequestId request_id, std::string_view reply) = 0;
    virtual void skip_call(RequestId request_id, std::uint64_t call_id) = 0;
    virtual bool request_gauges(std::uint64_t query_id) = 0;  // false: no gauges to be had now
    virtual bool request_health_check(std::uint64_t query_id) = 0;
    virtual void release(RequestId request_id) = 0;  // the request is over; its number will not be used again
};

class DependencyClient {  // calls below; reports to Server::called
public:
    virtual ~DependencyClient() = default;
    virtual void call(RequestId request_id, std::string_view external_id, std::string_view body,
                      Timestamp deadline) = 0;
    virtual void abandon(RequestId request_id) = 0;
};

class ConnectionSettingsSink {
public:
    virtual ~ConnectionSettingsSink() = default;
    virtual void set_idle_timeout(Duration timeout) = 0;  // 0: connections are not ours to close
};

enum class RunResult { succeeded, failed, killed, noop };

class RequestManager {
public:
    RequestManager(policy::Settings settings, std::unique_ptr<policy::AdmissionController> controller,
                   Clock& clock, TimerQueue& timers);
    void attach(Executor& executor, DependencyClient& dependency_client,
                ConnectionSettingsSink& connection_settings);
    void start(Timestamp executor_started_at);  // the executor is up; its start may lie back a little
    bool started() const { return started_; }

    std::size_t class_index_of(std::string_view name) const;  // policy::unknown: no such class
    std::size_t tenant_index_of(std::string_view name) const;
    const policy::Settings& settings() const { return generations_.back().settings; }  // the newest
    // New settings, with a Controller made for them: it is given what the newest has learned, and takes every new
    // request. Each open request stays with the Controller and class that it came in with.
    void reconfigure(policy::Settings settings, std::unique_ptr<policy::AdmissionController> controller);
    std::size_t generation_count() const {
        return generations_.size();
    }  // of settings with requests open, and the newest

    // The answer may come before this returns. 0: the table is full, and the request has been refused.
    RequestId submit(IncomingRequest request, Responder& responder, std::uint64_t ticket);
    // Refuses a whole request that the Controller does not see: a bound of the program itself stands against it.
    // `kind`: its class, or policy::unknown.
    void reject_before_admission(Responder& responder, std::uint64_t ticket, Duration retry_after,
                                 std::size_t class_index);
    void cancel(RequestId request_id);  // the caller no longer waits
    void drain(Timestamp deadline);
    void check_health(bool deep, std::function<void(bool)> on_result);
    bool draining() const { return draining_; }
    Timestamp shutdown_deadline() const { return shutdown_deadline_; }
    std::size_t unanswered_count() const { return unanswered_count_; }

    // From the executor and the records client.
    void run_finished(RequestId request_id, RunResult run_result, std::string_view body);
    void dependency_call_requested(RequestId request_id, std::uint64_t call_id, std::string body);
    void dependency_call_finished(RequestId request_id, policy::Outcome outcome, std::string_view reply);
    void gauges_received(std::uint64_t query_id, const policy::Gauges& gauges);
    void health_check_finished(std::uint64_t query_id, bool passed);

    Timestamp now();  // never runs backwards
    policy::Estimates learned() const { return generations_.back().controller->estimates(); }
    void restore(const policy::Estimates& learned_state) {
        generations_.back().controller->restore(learned_state);
    }  // before start()

    struct Counts {
        std::uint64_t received = 0, served = 0, rejected = 0, failed = 0, cancelled = 0, runs_started = 0,
                      runs_finished = 0;
        std::uint64_t rejected_before_admission =
            0;  // of the refused: those that the Controller has not seen
    };
    const Counts& counts() const { return counts_; }
    // Of each class by its name, from 0 at the start: served, refused, failed, and runs handed to the executor.
    struct ClassCounts {
        std::uint64_t served = 0, rejected = 0, failed = 0, runs_started = 0;
        std::uint64_t served_late = 0;  // of the served: past the class's target
        LatencyHistogram latency;  // of the served, from when they reached the machine
    };
    const std::map<std::string, ClassCounts>& counts_by_class() const { return counts_by_class_; }

private:
    enum class RequestState {
        queued,
        running,
        suspended,
        awaiting_call_decision,
        awaiting_call_reply,
        awaiting_shared_result,
        finished
    };
    struct OpenRequest {
        IncomingRequest incoming;
        Responder* responder = nullptr;
        std::uint64_t ticket = 0;
        RequestState state = RequestState::queued;
        bool answered = false;  // or nobody waits
        bool has_run = false;  // from then on it must not be refused, and what is unsafe must not run again
        bool has_failed = false;  // its own run or call failed
        bool call_may_have_effect =
            false;  // what lies below may have seen its call: unsafe ones make no other
        bool suspend_requested = false;
        RequestId repeated_id = 0;
        Timestamp deadline{0}, called_at{0};
        TimerQueue::Handle call_timer = 0;
        std::uint64_t call_id = 0;
        std::uint64_t generation = 0;  // of the settings and Controller that it came in with
        std::string call_body;
    };
    using PayloadDigest = std::pair<std::uint64_t, std::uint64_t>;  // a digest of it
    struct IdempotencyRecord {  // a kept key; the result stays while others may share it
        RequestId owner_id = 0;
        PayloadDigest payload_digest{};  // of the holder: a repeat has the same
        Timestamp retained_until{0}, finished_at{0};
        bool finished = false, succeeded = false;
        std::string result;
        std::vector<RequestId> waiter_ids;
        TimerQueue::Handle expiry_timer = 0;
    };
    struct QueuedEvent {
        policy::Event event;
        RequestId released_id = 0;  // this request's slot is free once the event has been handled
        std::uint64_t generation = 0;  // the generation
    };
    struct SettingsGeneration {
        policy::Settings settings;
        std::unique_ptr<policy::AdmissionController> controller;
        std::size_t open_requests = 0;  // its requests that have not been let go
    };

    SettingsGeneration* find_generation(std::uint64_t serial);  // null: dropped
    const policy::Settings& settings_of(const OpenRequest& request) {
        return find_generation(request.generation)->settings;
    }
    void post_event(policy::Event event,
                    RequestId released_id = 0);  // to the generation of `over`, else the newest
    void post_event_to(std::uint64_t generation, policy::Event event, RequestId released_id);
    std::uint64_t newest_generation() const {
        return oldest_generation_ + generations_.size() - 1;
    }  // the serial of the last
    void drop_unused_generations();  // the older generations that have nothing open
    void respond(OpenRequest& request, const Response& response);
    void release(RequestId request_id);
    void request_timer_gauges(std::uint64_t generation, std::uint32_t token);
    void deliver_timer(std::uint64_t query_id, const policy::Gauges& gauges);
    static std::string record_key(const policy::Settings& settings_of_request,
                                  const IncomingRequest& request);
    std::string record_key(const OpenRequest& request);
    static PayloadDigest digest_payload(const IncomingRequest& request);
    const IdempotencyRecord* find_retained(const IncomingRequest& request) const;
    RequestId repeated_request_id(const IdempotencyRecord& record, const policy::RequestClass& request_class);
    void finish_record(const OpenRequest& request, RequestId request_id, bool succeeded,
                       std::string_view result);
    void share_result(RequestId request_id, const IdempotencyRecord& record);
    void drop_record(const std::string& key);

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

    std::deque<SettingsGeneration> generations_;  // oldest first; the last takes new requests
    std::uint64_t oldest_generation_ = 1;  // the serial of the first
    std::uint64_t handling_generation_ = 0;  // the generation whose actions are carried out
    Clock& clock_;
    TimerQueue& timers_;
    Executor* executor_ = nullptr;
    DependencyClient* dependency_client_ = nullptr;
    ConnectionSettingsSink* connection_settings_ = nullptr;
    SlotMap<OpenRequest> open_requests_;
    std::unordered_map<std::string, RequestId> ids_by_external_id_;  // of all that have not been let go
    std::unordered_map<std::string, IdempotencyRecord> idempotency_records_;
    std::deque<QueuedEvent> event_queue_;
    std::vector<policy::Action> actions_;
    struct GaugeQuery {
        std::uint64_t generation = 0;
        std::uint32_t timer_token = 0;
        TimerQueue::Handle timeout_timer = 0;
    };
    struct HealthCheck {
        std::function<void(bool)> on_result;
        TimerQueue::Handle timeout_timer = 0;
    };
    std::unordered_map<std::uint64_t, GaugeQuery> gauge_queries_;
    std::unordered_map<std::uint64_t, HealthCheck> health_checks_;
    std::uint64_t last_query_id_ = 0;
    std::size_t unanswered_count_ = 0, retained_bytes_ = 0;
    Timestamp latest_time_{0}, shutdown_deadline_{0};
    bool dispatching_ = false, started_ = false, draining_ = false, healthy_ = true, health_is_cached_ = true;
    Counts counts_;
    std::map<std::string, ClassCounts> counts_by_class_;
    ClassCounts& counts_of_class(const policy::Settings& class_settings, std::size_t class_index);
    LogRateLimiter rejection_log_limiter_, key_mismatch_log_limiter_;
};

}  // namespace cressledge::request
