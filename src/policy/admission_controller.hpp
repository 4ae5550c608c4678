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

/// Time since an arbitrary origin, in microseconds.
using Timestamp = std::chrono::microseconds;
/// A span of time, in microseconds.
using Duration = std::chrono::microseconds;
/// Chosen by the host, unique among the requests of one controller.
using RequestId = std::uint64_t;
/// Index of a class or tenant that the settings do not have.
inline constexpr std::size_t unknown_index = static_cast<std::size_t>(-1);

/// Whether a request may run again.
enum class Idempotency {
    /// Any number of times.
    always,
    /// Once within the window of its key.
    with_key,
    /// Once ever.
    never
};
/// What runs call.
enum class Dependency {
    /// Nothing.
    none,
    /// One service, shared by all servers of this tier.
    shared_service,
    /// The servers of the next tier.
    upstream_tier
};
/// What `Suspend` does to a run.
enum class Preemption {
    /// It is never sent.
    none,
    /// Ends it; its work is lost.
    discard,
    /// Takes it off the cores, unless it waits for a disk.
    pause
};
/// How callers read `AdvertiseLoad`.
enum class LoadAdvertisement {
    /// It is never sent.
    none,
    /// 0 to 1: the greater, the fewer requests are sent.
    level,
    /// Requests that each caller may have outstanding.
    credit,
    /// 0 to 1: share of requests beside other servers.
    weight
};
/// How a run or a dependency call ended.
enum class Outcome {
    /// With a result.
    ok,
    /// With an error of the work itself.
    error,
    /// The dependency did not run the call.
    rejected,
    /// No answer in time; it may have run.
    timeout,
    /// No connection: it did not run.
    connect_failed,
    /// The connection ended before the answer; it may have run.
    reset,
    /// Nobody waited for it any more.
    cancelled,
    /// The run never began.
    not_started
};

/// Rules of one kind of request.
struct RequestClass {
    /// Unique among the classes.
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

/// What the host measures; nothing where it cannot.
struct Gauges {
    /// Share of the cores in use (0 to 1).
    std::optional<double> cpu_utilization;
    /// Runnable threads.
    std::optional<double> runnable;
    /// Share of the memory in use (0 to 1).
    std::optional<double> memory_used;
    /// Connections open.
    std::optional<double> connections;
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

/// The call that `CallDependency` asked for ended.
struct DependencyCallFinished {
    RequestId id = 0;
    Outcome outcome = Outcome::ok;
    /// From the issue of the call to its end.
    Duration duration{0};
};

/// The caller no longer waits.
struct Cancelled {
    RequestId id = 0;
};

/// This process ends at the deadline.
struct DrainStarted {
    /// When the process ends.
    Timestamp deadline{0};
};

/// A timer that `ScheduleTimer` asked for has come.
struct TimerFired {
    /// Of the `ScheduleTimer` that asked for it.
    std::uint32_t token = 0;
    /// Measured now, as far as the host can.
    Gauges gauges;
};

/// What a host tells the controller.
using Event = std::variant<Started, RequestArrived, RunFinished, DependencyCallRequested,
                           DependencyCallFinished, Cancelled, DrainStarted, TimerFired>;

// Actions.

/// Start work on a queued request.
struct Run {
    RequestId id = 0;
};

/// Final answer: it never ran.
struct Reject {
    RequestId id = 0;
    /// The caller should not come back before; 0: no advice.
    Duration retry_after{0};
    /// A retry, here or elsewhere, is not worth its cost.
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

/// Issue the dependency call at which the run stands.
struct CallDependency {
    RequestId id = 0;
    /// The call is abandoned after this.
    Duration timeout{0};
};

/// Go on without the call.
struct SkipDependencyCall {
    RequestId id = 0;
};

/// Remember the key of the request, and with it the request that a repeat names.
struct RetainKey {
    RequestId id = 0;
    /// For how long from now.
    Duration duration{0};
};

/// Forget the key of the request: it did not run, and a repeat may.
struct ReleaseKey {
    RequestId id = 0;
};

/// Answer with the result of the request that it repeats.
struct ReplayResult {
    RequestId id = 0;
};

/// Answer health checks so from now on.
struct SetHealth {
    bool healthy = true;
    /// Health checks may be answered without work.
    bool from_cache = true;
};

/// Close connections idle for this long; only where `Settings::idle_timeout` is set.
struct SetIdleTimeout {
    Duration timeout{0};
};

/// Advertise this load to callers; only where `Settings::load_advertisement` is not none.
struct AdvertiseLoad {
    /// A level or a weight from 0 to 1, or a credit in requests, by the setting.
    double value = 0.0;
};

/// Deliver a `TimerFired` no earlier than after the delay.
struct ScheduleTimer {
    Duration delay{0};
    /// Comes back in `TimerFired`.
    std::uint32_t token = 0;
};

/// Write a line to the log; at most one a second is asked for.
struct WriteLog {
    std::string text;
};

/// What the controller tells its host to do.
using Action =
    std::variant<Run, Reject, Fail, Suspend, CallDependency, SkipDependencyCall, RetainKey, ReleaseKey,
                 ReplayResult, SetHealth, SetIdleTimeout, AdvertiseLoad, ScheduleTimer, WriteLog>;

/// What a controller has learned, for its host to keep over a restart. Each figure comes back with the
/// confidence that the host has in it, 0 to 1: it is moved that far from the cold start's guess, and weighs
/// no more than the guess did.
struct Estimates {
    /// Of the class with this name.
    struct ClassEstimate {
        std::string name;
        /// Core seconds of a run, and its latency with calls.
        double price_seconds = 0.0, run_seconds = 0.0;
        /// Completions behind them.
        double completions = 0.0;
        double confidence = 0.0;
    };
    /// Of the priority band with this weight.
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
    /// What it has learned up to now; confidences are 0.
    virtual Estimates estimates() const { return {}; }
    /// Before `Started`; later it changes nothing.
    virtual void restore(const Estimates&) {}
    /// Takes in one event and appends the actions that follow from it.
    virtual void handle(Timestamp now, const Event& event, std::vector<Action>& actions) = 0;
};

/// The controller of one server. Decisions depend on nothing but settings and events; `seed` is for controllers
/// that draw random numbers, which this one does not.
std::unique_ptr<AdmissionController> make_admission_controller(const Settings& settings, std::uint64_t seed);

}  // namespace cressledge::policy
