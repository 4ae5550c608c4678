// Discrete-event simulation of one process that balances calls over a fleet of servers with the production code of
// src/load_balancing, src/retry and src/upstream_health. Time is simulated, in microseconds; the random numbers are
// seeded, so that a run gives the same figures on every machine.
//
// Half of the servers run at 0.6 of the speed, one in twenty never answers, a rolling restart takes a tenth of them
// down; in the outage scenario every server fails each call from the middle of the run on.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <queue>
#include <tuple>
#include <vector>

#include "load_balancing/balancer.hpp"
#include "retry/retry_policy.hpp"

namespace cressledge::bench {

using load_balancing::Balancer;
using load_balancing::BalancingPolicy;
using load_balancing::Duration;
using load_balancing::HostId;
using load_balancing::Random;
using load_balancing::Timestamp;

/// A row of the table: a balancing policy and the mechanisms that are on with it.
struct PolicyVariant {
    const char* name;
    BalancingPolicy policy;
    /// Whether outliers are ejected.
    bool outlier_detection;
    /// Whether failed requests are retried, within the retry budget.
    bool retries;
    /// Whether slow requests are hedged, within the retry budget.
    bool hedging;
};

/// Whether all servers fail from the middle of the run on.
enum class Scenario : std::uint8_t { usual, outage };

/// Measurements of one run.
struct SimulationResult {
    double p50_ms = 0.0;
    double p99_ms = 0.0;
    double failed_percent = 0.0;
    double attempts_per_request = 0.0;
    /// Mean for the requests that arrived during the outage; 0 without an outage.
    double attempts_per_request_in_outage = 0.0;
};

/// One seeded run of the simulation.
class BalancingSimulation {
public:
    /// `seconds`: simulated time in which requests arrive.
    BalancingSimulation(const PolicyVariant& variant, std::size_t server_count, double seconds,
                        Scenario scenario);

    void run();
    SimulationResult result();

private:
    struct Server {
        /// Speed relative to the fastest server.
        double speed = 1.0;
        /// Whether it accepts calls and never answers.
        bool is_black_hole = false;
        /// Whether it refuses connections.
        bool is_down = false;
        int running_calls = 0;
        /// Ids of the attempts that wait to run.
        std::deque<std::uint64_t> queue;
    };

    /// One call to a server.
    struct Attempt {
        std::uint64_t request_id = 0;
        HostId host_id = upstream_health::no_host;
        Timestamp started_at{0};
        Timestamp deadline{0};
        /// Duration of the call at a server of speed 1.
        double work_seconds = 0.0;
        /// The caller has the result or has stopped waiting; the server may still run the call.
        bool is_concluded = false;
    };

    struct Request {
        Timestamp arrived_at{0};
        Timestamp deadline{0};
        std::uint32_t attempts = 0;
        std::uint32_t attempts_in_flight = 0;
        std::vector<HostId> tried_hosts;
        bool is_done = false;
    };

    enum class EventType : std::uint8_t {
        request_arrival,
        call_completion,
        attempt_deadline,
        retry,
        hedge,
        health_tick,
        server_restart,
        outage,
    };

    struct Event {
        Timestamp time;
        /// Order of events of the same time.
        std::uint64_t sequence;
        EventType type;
        /// Id of the attempt or request, or index of the server, by type.
        std::uint64_t subject_id;
        /// Orders the earliest event as the greatest, because std::priority_queue returns the greatest first.
        bool operator<(const Event& other) const {
            return std::tie(other.time, other.sequence) < std::tie(time, sequence);
        }
    };

    static upstream_health::HealthSettings health_settings(const PolicyVariant& variant);
    static load_balancing::BalancerSettings balancer_settings(const PolicyVariant& variant);

    void add_servers(std::size_t server_count);
    void schedule(Timestamp time, EventType type, std::uint64_t subject_id);
    void schedule_rolling_restart();
    /// Uniform in (0, 1).
    double random_unit();
    /// Exponential with the given mean.
    double random_exponential(double mean);
    void refresh_balancer_after(const std::vector<upstream_health::HostStateChange>& changes);

    void handle(const Event& event);
    void on_request_arrival();
    void on_call_completion(std::uint64_t attempt_id);
    void on_attempt_deadline(std::uint64_t attempt_id);
    void on_retry(std::uint64_t request_id);
    void on_hedge(std::uint64_t request_id);
    void on_health_tick();
    void on_server_restart(std::size_t server_index);

    void start_attempt(std::uint64_t request_id);
    std::uint64_t record_attempt(std::uint64_t request_id, Request& request, HostId host_id);
    /// Delivers the call to its server, which refuses, fails, ignores, queues or runs it.
    void deliver(std::uint64_t attempt_id);
    void run_call(Server& server, std::uint64_t attempt_id);
    void conclude_attempt(std::uint64_t attempt_id, upstream_health::CallResult result);
    void retry_or_fail(std::uint64_t request_id, Request& request, upstream_health::CallResult result);
    void finish_request(std::uint64_t request_id, bool succeeded);

    /// Host ids follow the order of the first inventory, and so index `servers_`.
    Server& server_of(HostId host_id) { return servers_[host_id]; }
    double latency_quantile_ms(double quantile) const;

    const PolicyVariant variant_;
    Random random_;
    const Timestamp end_;
    const retry::RetrySettings retry_settings_;
    upstream_health::HostSet hosts_;
    Balancer balancer_;
    retry::RetryBudget retry_budget_;
    retry::CircuitBreaker circuit_breaker_;
    retry::HedgePolicy hedge_policy_;
    const Scenario scenario_;
    bool in_outage_ = false;
    std::vector<Server> servers_;
    /// Calls per second that all servers but the black holes can complete.
    double fleet_capacity_ = 0.0;
    std::priority_queue<Event> events_;
    std::map<std::uint64_t, Request> requests_;
    std::map<std::uint64_t, Attempt> attempts_;
    std::uint64_t last_sequence_ = 0;
    std::uint64_t last_request_id_ = 0;
    std::uint64_t last_attempt_id_ = 0;
    std::uint64_t request_count_ = 0;
    std::uint64_t failed_request_count_ = 0;
    std::uint64_t attempt_count_ = 0;
    std::uint64_t outage_request_count_ = 0;
    std::uint64_t outage_attempt_count_ = 0;
    Timestamp now_{0};
    /// Latencies of the requests that succeeded, in seconds.
    std::vector<double> latencies_;
};

}  // namespace cressledge::bench
