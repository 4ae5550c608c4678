// The interface of the decision module: what a host tells the admission controller of one server, and what
// it is told to do.
//
// The host owes: one AdmissionController for each server process, no state shared between them; `Started`
// first; then every event in the order in which it happened, with a clock that never runs backwards (if it
// does, the controller goes on with the latest time that it has seen); the actions of each call carried out
// in the order given, before the next event; each `ScheduleTimer` answered by one `TimerFired` no earlier
// than asked. The host must not answer, run or drop a request of its own accord. Events for requests that
// are unknown or over change nothing.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cressledge::policy {

/// Time since an arbitrary origin.
using Timestamp = std::chrono::microseconds;
using Duration = std::chrono::microseconds;
/// Chosen by the host, unique among the requests of one controller.
using RequestId = std::uint64_t;
/// Index of a class or tenant that the settings do not have.
inline constexpr std::size_t unknown_index = static_cast<std::size_t>(-1);

/// Whether a request may run again: always; once within its window; once ever.
enum class Idempotency { always, with_key, never };
/// What runs call: nothing, one service shared by all servers, the servers of the next tier.
enum class Dependency { none, shared_service, upstream_tier };
/// What `Suspend` does to a run.
enum class Preemption { none, discard, pause };
/// How callers read `AdvertiseLoad`.
enum class LoadAdvertisement { none, level, credit, weight };
/// How a run or a dependency call ended.
enum class Outcome { ok, error, rejected, timeout, connect_failed, reset, cancelled, not_started };

/// Rules of one kind of request.
struct RequestClass {
    std::string name;
    Idempotency idempotency = Idempotency::never;
    /// What an answer within the latency objective earns.
    double priority_weight = 1.0;
    /// Fraction of it that an answer after the objective, before the deadline, still earns.
    double late_priority_weight = 0.0;
    Duration latency_objective{1'000'000};
    /// The answer is due this long after arrival, unless the request says otherwise.
    Duration answer_deadline{4'000'000};
    /// With a key: how long a repeat may come.
    Duration idempotency_window{0};
    /// Runs may make a dependency call.
    bool calls_dependency = false;
    /// Fraction earned without the call; 0: it can't be skipped.
    double skipped_call_weight = 0.0;
};

/// A customer of the fleet.
struct Tenant {
    std::string name;
    /// Requests per second over the whole fleet.
    double quota_per_second = 0.0;
};

/// Fixed for the life of a controller. Necessary: `classes`, `cores`, `memory_kb`.
struct Settings {
    std::vector<RequestClass> classes;
    std::vector<Tenant> tenants;
    int cores = 1;
    double memory_kb = 0.0;
    /// Memory of a running request over that of a queued one.
    double running_memory_factor = 1.0;
    /// Memory of a retained key.
    double idempotency_key_kb = 0.0;
    /// Servers of this tier at start.
    int replica_count = 1;
    bool callers_mark_retries = false;
    /// Callers of this tier at start.
    int caller_count = 1;
    /// Factor on the priority weight of requests over their tenant's quota.
    double over_quota_weight = 1.0;
    Dependency dependency = Dependency::none;
    /// Shared service: mean calls in flight, over the window, that are this server's part.
    double dependency_call_quota = 0.0;
    Duration dependency_call_window{5'000'000};
    /// Callers close a connection idle for this long; 0: not ours to shorten.
    Duration idle_timeout{0};
    /// An abandoned call may stay with the dependency for this long.
    Duration abandoned_call_grace{0};
    Preemption preemption = Preemption::none;
    LoadAdvertisement load_advertisement = LoadAdvertisement::none;
    /// A read's result may serve others for this long.
    Duration result_ttl{0};
    bool cold_start = false;
    /// Share of full speed at a cold start.
    double cold_start_speed = 1.0;
    Duration warm_up_duration{0};
    /// After the start of a drain, requests that arrived within this may still run.
    Duration drain_grace{0};
    /// Running requests a core that a warm server survives, averaged over the window.
    double max_runnable_per_core = 2.0;
    Duration runnable_window{1'000'000};
    Duration answer_slack{0};
    /// 0: callers do not heed Retry-After.
    Duration max_retry_after{0};
    /// Weights of the worst class, tenant and window in the goal.
    double worst_class_weight = 0.0, worst_tenant_weight = 0.0, worst_window_weight = 0.0;
};

/// What the host measures: utilization and memory as shares, runnable threads, connections.
struct Gauges {
    std::optional<double> cpu_utilization, runnable, memory_used, connections;
};

// Events.

/// The first event.
struct Started {};

/// A request was read whole.
struct RequestArrived {
    RequestId id = 0;
    /// Indexes into the settings, or `unknown_index`.
    std::size_t class_index = unknown_index;
    std::size_t tenant_index = unknown_index;
    std::uint64_t caller_id = 0;
    /// The request with a retained key that this one repeats; 0: none.
    RequestId repeated_id = 0;
    bool has_key = false, is_retry = false, is_write = false;
    /// 0: none given.
    double expected_work_seconds = 0.0;
    /// 0 to 1: one band for each class, lowest priority weight first.
    double rank = 0.5;
    double reserved_kb = 0.0;
    /// Since arrival.
    Duration age{0};
    /// When the caller gives up.
    std::optional<Timestamp> caller_deadline;
};

/// A run or a replay ended.
struct RunFinished {
    RequestId id = 0;
    Outcome outcome = Outcome::ok;
};

/// A run stands at its call and wants `CallDependency`, `SkipDependencyCall` or `Fail`.
struct DependencyCallRequested {
    RequestId id = 0;
};

struct DependencyCallFinished {
    RequestId id = 0;
    Outcome outcome = Outcome::ok;
    Duration duration{0};
};

/// The caller no longer waits.
struct Cancelled {
    RequestId id = 0;
};

/// This process ends at the deadline.
struct DrainStarted {
    Timestamp deadline{0};
};

struct TimerFired {
    /// Of the `ScheduleTimer` that asked for it.
    std::uint32_t token = 0;
    Gauges gauges;
};

using Event = std::variant<Started, RequestArrived, RunFinished, DependencyCallRequested,
                           DependencyCallFinished, Cancelled, DrainStarted, TimerFired>;

// Actions.

struct Run {
    RequestId id = 0;
};

/// Final answer: it never ran.
struct Reject {
    RequestId id = 0;
    Duration retry_after{0};
    bool do_not_retry = false;
};

/// Final answer: error.
struct Fail {
    RequestId id = 0;
};

/// Stop running work; only where `Settings::preemption` is not none.
struct Suspend {
    RequestId id = 0;
};

struct CallDependency {
    RequestId id = 0;
    Duration timeout{0};
};

/// Go on without the call.
struct SkipDependencyCall {
    RequestId id = 0;
};

/// Remember the key of the request, and with it the request that a repeat names.
struct RetainKey {
    RequestId id = 0;
    Duration duration{0};
};

struct ReleaseKey {
    RequestId id = 0;
};

/// Answer with the result of the request that it repeats.
struct ReplayResult {
    RequestId id = 0;
};

struct SetHealth {
    bool healthy = true;
    /// Health checks may be answered without work.
    bool from_cache = true;
};

/// Close connections idle for this long; only where `Settings::idle_timeout` is set.
struct SetIdleTimeout {
    Duration timeout{0};
};

/// Only where `Settings::load_advertisement` is not none.
struct AdvertiseLoad {
    double value = 0.0;
};

struct ScheduleTimer {
    Duration delay{0};
    std::uint32_t token = 0;
};

struct WriteLog {
    std::string text;
};

using Action =
    std::variant<Run, Reject, Fail, Suspend, CallDependency, SkipDependencyCall, RetainKey, ReleaseKey,
                 ReplayResult, SetHealth, SetIdleTimeout, AdvertiseLoad, ScheduleTimer, WriteLog>;

/// What a controller has learned, for its host to keep over a restart. Each figure comes back with the
/// confidence that the host has in it, 0 to 1: it is moved that far from the cold start's guess, and weighs
/// no more than the guess did.
struct Estimates {
    struct ClassEstimate {
        std::string name;
        /// Core seconds of a run, and its latency with calls.
        double price_seconds = 0.0, run_seconds = 0.0;
        /// Completions behind them.
        double completions = 0.0;
        double confidence = 0.0;
    };
    struct BandEstimate {
        double priority_weight = 0.0;
        /// Quanta asked for in a period.
        double quanta_per_period = 0.0;
        /// That the demand rises, stays, falls.
        std::array<double, 3> trend_odds{1.0, 1.0, 1.0};
        double confidence = 0.0;
    };
    std::vector<ClassEstimate> classes;
    std::vector<BandEstimate> bands;
    /// Runs at a time.
    double capacity_quanta_per_second = 0.0, concurrency_limit = 0.0;
    /// Mean seconds of a dependency call, and the calls behind it.
    double call_seconds = 0.0, call_count = 0.0;
    /// In capacity and limit; in `call_seconds`.
    double capacity_confidence = 0.0, call_confidence = 0.0;
};

/// Decides what runs, is rejected or fails on one server. Not thread-safe.
class AdmissionController {
public:
    virtual ~AdmissionController() = default;
    virtual Estimates estimates() const { return {}; }
    /// Before `Started`; later it changes nothing.
    virtual void restore(const Estimates&) {}
    /// Takes in one event and appends the actions that follow from it.
    virtual void handle(Timestamp now, const Event& event, std::vector<Action>& actions) = 0;
};

std::unique_ptr<AdmissionController> make_admission_controller(const Settings& settings, std::uint64_t seed);

}  // namespace cressledge::policy
