#include "frontend/shutdown_coordinator.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cressledge::frontend {
namespace {

// Before the stop: time for callers to read their answers, and for what crosses a close to be sent elsewhere.
constexpr base::Duration connection_close_lead{500'000}, drain_check_interval{10'000};
// The Controller ends what is open 100 ms before the stop. Later than that nobody waits for half a request, and in the
// last moments for nobody to read an answer.
constexpr base::Duration incomplete_request_lead{150'000}, exit_lead{40'000};

}  // namespace

void ShutdownCoordinator::start_graceful_shutdown() {
    if (server_.draining())
        return;
    const base::Timestamp now = server_.now(), stop = now + stop_delay_;
    spdlog::info("notice to leave: {} requests unanswered, stop in {} ms", server_.unanswered_count(),
                 stop_delay_.count() / 1000);
    server_.drain(stop);
    for (const auto& f : frontends_)
        f->start_handover();
    timers_.schedule(std::max(now, stop - connection_close_lead), [this] {
        for (const auto& f : frontends_)
            f->start_drain();
        advance_drain();
    });
}

void ShutdownCoordinator::collect_connection_metrics(base::Metrics& out) const {
    static constexpr std::pair<const char*, std::uint64_t ClosedConnectionCounts::*> counters[] = {
        {"malformed", &ClosedConnectionCounts::malformed_requests},
        {"overdue", &ClosedConnectionCounts::request_timeouts},
        {"cut_short", &ClosedConnectionCounts::truncated_requests},
        {"idle", &ClosedConnectionCounts::idle_timeouts},
        {"evicted", &ClosedConnectionCounts::evicted},
        {"unwhole", &ClosedConnectionCounts::incomplete_at_shutdown},
        {"flooding", &ClosedConnectionCounts::excess_input},
        {"unread", &ClosedConnectionCounts::unread_responses}};
    for (const auto& [name, counter] : counters) {
        std::uint64_t total = 0;
        for (const auto& f : frontends_)
            total += f->closed_connections().*counter;
        out.emplace_back(std::string("node.connections.") + name, total);
    }
}

void ShutdownCoordinator::advance_drain() {
    const base::Timestamp now = server_.now(), stop = server_.shutdown_deadline();
    for (const auto& f : frontends_)
        f->drain_backlog(now >= stop - incomplete_request_lead);
    const bool has_unfinished_work = server_.unanswered_count() > 0 ||
                                     std::any_of(frontends_.begin(), frontends_.end(),
                                                 [](const auto& f) { return f->has_unfinished_responses(); });
    // Half a request owes nothing: it gets the time that the others need, and no more.
    if (!has_unfinished_work || now >= stop - incomplete_request_lead)
        for (const auto& f : frontends_)
            f->close_incomplete_requests();
    const bool all_drained =
        std::all_of(frontends_.begin(), frontends_.end(), [](const auto& f) { return f->is_drained(); });
    // Nobody is left, or all that was read is answered and the stop is at hand.
    const bool can_stop = all_drained || now >= stop - exit_lead;
    if (can_stop && server_.unanswered_count() == 0) {
        const auto& counts = server_.counts();
        spdlog::info("left: read {}, served {}, refused {}, failed {}, gone {}", counts.received,
                     counts.served, counts.rejected, counts.failed, counts.cancelled);
        return loop_.stop();
    }
    timers_.schedule(now + drain_check_interval, [this] { advance_drain(); });
}

}  // namespace cressledge::frontend
