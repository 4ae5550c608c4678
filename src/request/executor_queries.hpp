/// Pending queries to the executor, for gauges and for health checks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

#include "base/timer_queue.hpp"
#include "request/executor.hpp"

namespace cressledge::request {

/// Sends queries to the executor and calls the handler of each exactly once: with the reply, or with a default where
/// the executor cannot reply or the query times out. A late reply is dropped. Query ids are unique across both kinds
/// of query.
class ExecutorQueries {
public:
    using GaugesHandler = std::function<void(const policy::Gauges&)>;
    using HealthHandler = std::function<void(bool passed)>;

    /// `timers` runs the timeout of each query and must outlive this object.
    explicit ExecutorQueries(base::TimerQueue& timers) : timers_(timers) {}

    /// Queries the gauges. Without a reply, `handler` is called with default-constructed gauges.
    void query_gauges(Executor& executor, Timestamp now, GaugesHandler handler);

    /// Queries a health check. Without a reply, `handler` is called with false.
    void query_health(Executor& executor, Timestamp now, HealthHandler handler);

    /// Whether the number of pending health checks has reached its limit.
    bool health_checks_full() const;

    /// Handles the executor's reply to gauge query `query_id`. A late or unknown one is dropped.
    void gauges_received(std::uint64_t query_id, const policy::Gauges& gauges);
    /// Handles the executor's reply to health check `query_id`. A late or unknown one is dropped.
    void health_check_finished(std::uint64_t query_id, bool passed);

private:
    struct GaugeQuery {
        GaugesHandler handler;
        base::TimerHandle timeout_timer;
    };
    struct HealthCheck {
        HealthHandler handler;
        base::TimerHandle timeout_timer;
    };

    base::TimerQueue& timers_;
    std::unordered_map<std::uint64_t, GaugeQuery> gauge_queries_;
    std::unordered_map<std::uint64_t, HealthCheck> health_checks_;
    std::uint64_t last_query_id_ = 0;
};

}  // namespace cressledge::request
