#include "request/executor_queries.hpp"

#include <utility>

namespace cressledge::request {
namespace {

/// Bounds the memory of pending health checks.
constexpr std::size_t max_pending_health_checks = 64;
/// Must stay below the timer delay from which the admission controller infers that the process was stalled.
constexpr Duration gauges_timeout{15'000};  // microseconds
constexpr Duration health_check_timeout{2'000'000};  // microseconds

}  // namespace

void ExecutorQueries::query_gauges(Executor& executor, Timestamp now, GaugesHandler handler) {
    const std::uint64_t query_id = ++last_query_id_;
    GaugeQuery& query = gauge_queries_[query_id];
    query.handler = std::move(handler);
    query.timeout_timer =
        timers_.schedule(now + gauges_timeout, [this, query_id] { gauges_received(query_id, {}); });
    if (!executor.request_gauges(query_id))
        gauges_received(query_id, {});
}

void ExecutorQueries::gauges_received(std::uint64_t query_id, const policy::Gauges& gauges) {
    const auto it = gauge_queries_.find(query_id);
    if (it == gauge_queries_.end())
        return;
    const GaugesHandler handler = std::move(it->second.handler);
    gauge_queries_.erase(it);
    handler(gauges);
}

bool ExecutorQueries::health_checks_full() const {
    return health_checks_.size() >= max_pending_health_checks;
}

void ExecutorQueries::query_health(Executor& executor, Timestamp now, HealthHandler handler) {
    const std::uint64_t query_id = ++last_query_id_;
    HealthCheck& check = health_checks_[query_id];
    check.handler = std::move(handler);
    check.timeout_timer = timers_.schedule(now + health_check_timeout,
                                           [this, query_id] { health_check_finished(query_id, false); });
    if (!executor.request_health_check(query_id))
        health_check_finished(query_id, false);
}

void ExecutorQueries::health_check_finished(std::uint64_t query_id, bool passed) {
    const auto it = health_checks_.find(query_id);
    if (it == health_checks_.end())
        return;
    const HealthHandler handler = std::move(it->second.handler);
    health_checks_.erase(it);
    handler(passed);
}

}  // namespace cressledge::request
