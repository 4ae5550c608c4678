// The interface of curlewreel: what a host tells the controller of one server, and what it is told to do.
//
// The host owes: one Controller for each server process, no state shared between them; `Started` first; then
// every event in the order in which it happened, with a clock that never runs backwards (if it does, the
// controller goes on with the latest time that it has seen); the actions of each call carried out in the
// order given, before the next event; each `Wake` answered by one `Timer` no earlier than asked. The host
// must not answer, run or drop a request of its own accord. Events for requests that are unknown or over
// change nothing. Times are microseconds from any origin; memory is kilobytes; work is core time.
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

using Timestamp = std::chrono::microseconds;  // since an arbitrary origin
using Duration = std::chrono::microseconds;
using RequestId = std::uint64_t;
inline constexpr std::size_t unknown_index = static_cast<std::size_t>(-1);

enum class Idempotency { always, with_key, never };  // may run again; once within its window; once ever
enum class Dependency { none, shared_service, upstream_tier };  // what requests call
enum class Preemption { none, discard, pause };  // what Halt does
enum class LoadAdvertisement { none, level, credit, weight };  // how callers read Say
enum class Outcome { ok, error, rejected, timeout, connect_failed, reset, cancelled, not_started };

struct RequestClass {
    std::string name;
    Idempotency idempotency = Idempotency::never;
    double priority_weight = 1.0;
    double late_priority_weight = 0.0;  // fraction earned after the target, before the deadline
    Duration latency_objective{1'000'000};  // an answer within this earns the full worth
    Duration answer_deadline{4'000'000};  // the answer is due this long after arrival, unless the request says otherwise
    Duration idempotency_window{0};  // keyed: how long a repeat may come
    bool calls_dependency = false;  // may call below
    double skipped_call_weight = 0.0;  // fraction earned without the call; 0: Skip is not allowed
};

struct Tenant {
    std::string name;
    double quota_per_second = 0.0;  // its allowance over the whole fleet
};

struct Settings {
    std::vector<RequestClass> classes;  // necessary
    std::vector<Tenant> tenants;
    int cores = 1;  // necessary
    double memory_kb = 0.0;  // necessary
    double running_memory_factor = 1.0;  // memory of a running request over that of a held one
    double idempotency_key_kb = 0.0;  // memory of a kept key
    int replica_count = 1;  // servers of this tier at start
    bool callers_mark_retries = false;  // callers mark further tries
    int caller_count = 1;  // callers of this tier at start
    double over_quota_weight = 1.0;
    Dependency dependency = Dependency::none;
    double dependency_call_quota = 0.0;  // shared: mean calls in hand that are this server's part
    Duration dependency_call_window{5'000'000};
    Duration idle_timeout{0};  // callers close a connection idle for this long; 0: not ours to shorten
    Duration abandoned_call_grace{0};  // an abandoned call may stay below for this long
    Preemption preemption = Preemption::none;
    LoadAdvertisement load_advertisement = LoadAdvertisement::none;
    Duration result_ttl{0};  // a read's answer may serve others for this long
    bool cold_start = false;
    double cold_start_speed = 1.0;  // share of full speed at a cold start
    Duration warm_up_duration{0};
    Duration drain_grace{0};
    double max_runnable_per_core = 2.0;  // running requests a core that a warm server survives, averaged over crowd_over
    Duration runnable_window{1'000'000};
    Duration answer_slack{0};
    Duration max_retry_after{0};  // 0: advice to stay away goes unheard
    double worst_class_weight = 0.0, worst_tenant_weight = 0.0, worst_window_weight = 0.0;  // weights in the goal
};

struct Gauges {
    std::optional<double> cpu_utilization, runnable, memory_used, connections;
};

// Events.
struct Started {};
struct RequestArrived {
    RequestId id = 0;
    std::size_t class_index = unknown_index;  // index into Settings::classes
    std::size_t tenant_index = unknown_index;  // index into Settings::tenants
    std::uint64_t caller_id = 0;
    RequestId repeated_id = 0;  // the kept request that this one repeats; 0: none
    bool has_key = false, is_retry = false, is_write = false;
    double expected_work_seconds = 0.0;  // expected work in seconds; 0: none
    double rank = 0.5;  // 0 to 1: one band for each class, lowest worth first
    double reserved_kb = 0.0;
    Duration age{0};  // since arrival
    std::optional<Timestamp> caller_deadline;  // when the caller gives up
};
struct RunFinished {
    RequestId id = 0;
    Outcome outcome = Outcome::ok;
};
struct DependencyCallRequested {
    RequestId id = 0;
};  // stands at a call; wants Call, Skip or Fail
struct DependencyCallFinished {
    RequestId id = 0;
    Outcome outcome = Outcome::ok;
    Duration duration{0};
};
struct Cancelled {
    RequestId id = 0;
};  // the caller no longer waits
struct DrainStarted {
    Timestamp deadline{0};
};  // this process ends then
struct TimerFired {
    std::uint32_t token = 0;
    Gauges gauges;
};
using Event = std::variant<Started, RequestArrived, RunFinished, DependencyCallRequested, DependencyCallFinished, Cancelled, DrainStarted, TimerFired>;

// Actions.
struct Run {
    RequestId id = 0;
};
struct Reject {
    RequestId id = 0;
    Duration retry_after{0};
    bool do_not_retry = false;
};  // answer: never ran
struct Fail {
    RequestId id = 0;
};  // answer: error
struct Suspend {
    RequestId id = 0;
};  // stop running work; only where Settings::stop is not none
struct CallDependency {
    RequestId id = 0;
    Duration timeout{0};
};
struct SkipDependencyCall {
    RequestId id = 0;
};  // go on without the call
struct RetainKey {
    RequestId id = 0;
    Duration duration{0};
};  // remember its key
struct ReleaseKey {
    RequestId id = 0;
};
struct ReplayResult {
    RequestId id = 0;
};  // answer from the request that it repeats
struct SetHealth {
    bool healthy = true, from_cache = true;
};
struct SetIdleTimeout {
    Duration timeout{0};
};  // close connections idle for this long; only where Settings::idle is set
struct AdvertiseLoad {
    double value = 0.0;
};  // only where Settings::advert is not none
struct ScheduleTimer {
    Duration delay{0};
    std::uint32_t token = 0;
};
struct WriteLog {
    std::string text;
};
using Action =
    std::variant<Run, Reject, Fail, Suspend, CallDependency, SkipDependencyCall, RetainKey, ReleaseKey, ReplayResult, SetHealth, SetIdleTimeout, AdvertiseLoad, ScheduleTimer, WriteLog>;

// What a controller has learned, for its host to keep over a restart. Each figure comes back with the trust that the
// host has in it, 0 to 1: it is moved that far from the cold start's guess, and weighs no more than the guess did.
struct Estimates {
    struct ClassEstimate {
        std::string name;
        double price_seconds = 0.0, run_seconds = 0.0;  // seconds: price in core time, latency with calls
        double completions = 0.0;  // completions behind them
        double confidence = 0.0;
    };
    struct BandEstimate {
        double priority_weight = 0.0, quanta_per_period = 0.0;  // quanta asked for in a period
        std::array<double, 3> trend_odds{1.0, 1.0, 1.0};  // that it rises, stays, falls
        double confidence = 0.0;
    };
    std::vector<ClassEstimate> classes;
    std::vector<BandEstimate> bands;
    double capacity_quanta_per_second = 0.0, concurrency_limit = 0.0;  // quanta a second; running at a time
    double call_seconds = 0.0, call_count = 0.0;  // seconds of a call below, and calls behind it
    double capacity_confidence = 0.0, call_confidence = 0.0;  // in capacity and limit; in call
};

class AdmissionController {
public:
    virtual ~AdmissionController() = default;
    virtual Estimates estimates() const { return {}; }
    virtual void restore(const Estimates&) {}  // before Started; later it changes nothing
    virtual void handle(Timestamp now, const Event& event, std::vector<Action>& actions) = 0;
};

std::unique_ptr<AdmissionController> make_admission_controller(const Settings& settings, std::uint64_t seed);

}  // namespace cressledge::policy
