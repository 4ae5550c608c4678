#include "frontend/shutdown_coordinator.hpp"

#include <algorithm>
#include <string>

#include "base/log.hpp"

namespace cressledge::frontend {
namespace {

/// Connections are drained this long before the stop. It leaves callers time to read their responses and to resend
/// elsewhere a request that crossed the close of its connection.
constexpr base::Duration connection_close_lead{500'000};
/// Interval at which a drain checks whether it is complete.
constexpr base::Duration drain_check_interval{10'000};
/// Incomplete requests are closed this long before the stop, because the admission controller ends open requests 100 ms
/// before it.
constexpr base::Duration incomplete_request_lead{150'000};
/// From this long before the stop, the process exits without waiting for peers to read their responses.
constexpr base::Duration exit_lead{40'000};

/// A counter and its name in `node.connections.X`.
struct ConnectionMetric {
    const char* name;
    std::uint64_t ClosedConnectionCounts::*counter;
};

constexpr ConnectionMetric connection_metrics[] = {
    {"malformed", &ClosedConnectionCounts::malformed_requests},
    {"overdue", &ClosedConnectionCounts::request_timeouts},
    {"cut_short", &ClosedConnectionCounts::truncated_requests},
    {"idle", &ClosedConnectionCounts::idle_timeouts},
    {"evicted", &ClosedConnectionCounts::evicted},
    {"unwhole", &ClosedConnectionCounts::incomplete_at_shutdown},
    {"flooding", &ClosedConnectionCounts::excess_input},
    {"unread", &ClosedConnectionCounts::unread_responses},
    {"abandoned", &ClosedConnectionCounts::abandoned},
};

}  // namespace

void ShutdownCoordinator::set_idle_limit(base::Duration limit) {
    for (const auto& frontend : frontends_)
        frontend->set_idle_limit(limit);
}

void ShutdownCoordinator::begin_graceful_shutdown(Successor successor) {
    if (!request_manager_.draining())
        schedule_drain();
    for (const auto& frontend : frontends_)
        frontend->yield_to(successor);
}

void ShutdownCoordinator::schedule_drain() {
    const base::Timestamp now = request_manager_.now();
    const base::Timestamp stop_at = now + stop_delay_;
    base::log_info("frontend: graceful shutdown started unanswered={} stop_ms={}",
                   request_manager_.unanswered_count(), stop_delay_.count() / 1000);
    request_manager_.drain(stop_at);
    timers_.schedule_detached(std::max(now, stop_at - connection_close_lead), [this] { start_drain(); });
}

void ShutdownCoordinator::start_drain() {
    for (const auto& frontend : frontends_)
        frontend->start_drain();
    advance_drain();
}

void ShutdownCoordinator::collect_connection_metrics(base::Metrics& out) const {
    for (const ConnectionMetric& metric : connection_metrics) {
        std::uint64_t total = 0;
        for (const auto& frontend : frontends_)
            total += frontend->closed_connections().*metric.counter;
        out.emplace_back(std::string("node.connections.") + metric.name, total);
    }
}

bool ShutdownCoordinator::has_unfinished_work() const {
    return request_manager_.unanswered_count() > 0 ||
           std::any_of(frontends_.begin(), frontends_.end(),
                       [](const auto& frontend) { return frontend->has_unfinished_responses(); });
}

bool ShutdownCoordinator::can_stop(base::Timestamp now) const {
    const bool is_drained = std::all_of(frontends_.begin(), frontends_.end(),
                                        [](const auto& frontend) { return frontend->is_drained(); });
    const bool is_stop_near = now >= request_manager_.shutdown_deadline() - exit_lead;
    return (is_drained || is_stop_near) && request_manager_.unanswered_count() == 0;
}

void ShutdownCoordinator::advance_drain() {
    const base::Timestamp now = request_manager_.now();
    const bool is_final_attempt = now >= request_manager_.shutdown_deadline() - incomplete_request_lead;
    for (const auto& frontend : frontends_)
        frontend->drain_backlog(is_final_attempt);
    // Incomplete requests do not extend the shutdown: they are closed once no other work is unfinished.
    if (!has_unfinished_work() || is_final_attempt)
        for (const auto& frontend : frontends_)
            frontend->close_incomplete_requests();
    if (can_stop(now))
        return stop();
    timers_.schedule_detached(now + drain_check_interval, [this] { advance_drain(); });
}

void ShutdownCoordinator::stop() {
    const auto& counts = request_manager_.counts();
    base::log_info(
        "frontend: graceful shutdown finished received={} served={} rejected={} failed={} cancelled={}",
        counts.received, counts.served, counts.rejected, counts.failed, counts.cancelled);
    loop_.stop();
}

}  // namespace cressledge::frontend
