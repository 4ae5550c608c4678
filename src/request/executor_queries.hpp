/// Questions to the executor that have not been answered yet: gauges and health checks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

#include "base/timer_queue.hpp"
#include "request/executor.hpp"

namespace cressledge::request {

/// Asks the executor and calls a handler exactly once for each question: with the answer, or without one where the
/// executor cannot say or takes too long. A late answer is dropped. Query ids are unique over both kinds of question.
class ExecutorQueries {
public:
    using GaugesHandler = std::function<void(const policy::Gauges&)>;
    using HealthHandler = std::function<void(bool passed)>;

    /// `timers` holds the time-out of each question.
    explicit ExecutorQueries(base::TimerQueue& timers) : timers_(timers) {}

    /// Asks for gauges. Without an answer the handler gets empty ones.
    void query_gauges(Executor& executor, Timestamp now, GaugesHandler handler);

    /// Asks for a health check. Without an answer the check has not passed.
    void query_health(Executor& executor, Timestamp now, HealthHandler handler);

    /// Whether as many health checks are pending as memory is set aside for.
    bool health_checks_full() const;

    /// The answers of the executor.
    void gauges_received(std::uint64_t query_id, const policy::Gauges& gauges);
    /// The executor's answer to health check `query_id`; a late or unknown one is dropped.
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
