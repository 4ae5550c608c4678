// Results of attempts: what is recorded, and the decision on a retry.

#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "upstream/executor.hpp"

namespace cressledge::upstream {
namespace {

using upstream_health::CallResult;
using upstream_health::HostId;

/// How long a host that refused a connection is deprioritized.
constexpr base::Duration deprioritization_period{1'000'000};
constexpr double seconds_per_microsecond = 1e-6;

constexpr int status_request_timeout = 408;
constexpr int status_too_many_requests = 429;

// Whether every host would respond with the same client error, so that a retry is useless.
bool is_permanent_client_error(int status) {
    return status >= 400 && status < 500 && status != status_too_many_requests &&
           status != status_request_timeout;
}

}  // namespace

void UpstreamExecutor::on_attempt_abandoned(Attempt& attempt) {
    const base::Timestamp now = clock_.unix_now();
    balancer_.on_call_cancelled(now, attempt.host_id(), now - attempt.started_at());
    apply_host_changes(hosts_.on_call_cancelled(now, attempt.host_id()));
}

void UpstreamExecutor::on_attempt_result(Attempt& attempt, CallResult result) {
    if (!attempt.finish())
        return;
    ActiveRequest& request = attempt.request();
    const base::Timestamp now = clock_.unix_now();
    const bool stale = attempt.was_stale(result);
    if (attempt.response() != nullptr && result != CallResult::timeout)
        record_load_report(attempt.host_id(), *attempt.response());
    if (result != CallResult::ok && !stale)
        log_failure(attempt, result);
    if (stale) {
        record_stale_connection(attempt, now);
    } else {
        record_result(attempt, result, now);
    }
    if (result == CallResult::ok)
        return succeed(attempt, now);
    attempt.close_connection();
    // A member function of the attempt may be running: it is destroyed later, by the next retry or with the request.
    const bool all_attempts_finished = std::all_of(request.attempts.begin(), request.attempts.end(),
                                                   [](const auto& other) { return other->is_finished(); });
    if (all_attempts_finished && !request.completed)
        on_last_attempt_failed(attempt, result, stale);
}

void UpstreamExecutor::log_failure(Attempt& attempt, CallResult result) {
    std::uint64_t suppressed = 0;
    if (!failure_log_limiter_.try_acquire(request_manager_.now(), suppressed))
        return;
    const std::string& name = hosts_.at(attempt.host_id()).spec.name;
    const std::string& request_name = attempt.request().external_id;
    const int status = attempt.response() != nullptr ? attempt.response()->status : 0;
    if (result == CallResult::connection_refused)
        base::log_warning("upstream: connection refused host={} suppressed={}", name, suppressed);
    else if (status != 0)
        base::log_info("upstream: call failed host={} status={} request={} suppressed={}", name, status,
                       request_name, suppressed);
    else
        base::log_warning("upstream: incomplete response host={} request={} suppressed={}", name,
                          request_name, suppressed);
}

void UpstreamExecutor::record_stale_connection(Attempt& attempt, base::Timestamp now) {
    const base::Duration elapsed = std::max(base::Duration(0), now - attempt.started_at());
    ++counters_.stale_connections;
    balancer_.on_call_cancelled(now, attempt.host_id(), elapsed);
    apply_host_changes(hosts_.on_call_cancelled(now, attempt.host_id()));
}

void UpstreamExecutor::record_result(Attempt& attempt, CallResult result, base::Timestamp now) {
    const HostId host_id = attempt.host_id();
    const bool succeeded = result == CallResult::ok;
    const base::Duration latency = std::max(base::Duration(0), now - attempt.started_at());
    learned_stats_[host_id].record_call(now, succeeded,
                                        static_cast<double>(latency.count()) * seconds_per_microsecond);
    balancer_.on_call_finished(now, host_id, result, latency);
    if (result == CallResult::connection_refused)
        balancer_.deprioritize(host_id, now + deprioritization_period);
    if (const Response* response = attempt.response();
        response != nullptr && response->retry_after > base::Duration(0))
        balancer_.deprioritize(host_id, now + response->retry_after);
    apply_host_changes(hosts_.on_call_finished(now, host_id, result, latency));
    circuit_breaker_.record(succeeded);
}

void UpstreamExecutor::succeed(Attempt& attempt, base::Timestamp now) {
    ActiveRequest& request = attempt.request();
    hedge_policies_[request.traits.class_index].record(
        std::max(base::Duration(0), now - attempt.started_at()));
    std::string body = std::move(attempt.response()->body);
    if (attempt.has_connection() && attempt.can_reuse_connection() && request.traits.idempotent &&
        idle_connections_.is_enabled())
        retain_connection(attempt.host_id(), attempt.take_connection());
    complete(request.request_id, request::RunResult::succeeded, std::move(body));
}

void UpstreamExecutor::on_last_attempt_failed(Attempt& attempt, CallResult result, bool stale) {
    ActiveRequest& request = attempt.request();
    if (stale && !request.needs_new_connection) {
        // The same host may be called again, on a new connection.
        request.needs_new_connection = true;
        std::erase(request.tried_hosts, attempt.host_id());
        return retry_or_fail(request, Delivery::never_sent);
    }
    Response* response = attempt.response();
    if (response != nullptr && is_permanent_client_error(response->status))
        return fail(request, std::move(response->body));
    retry_or_fail(request,
                  result == CallResult::connection_refused ? Delivery::never_sent : Delivery::unknown);
}

// ---- retries ----

// A call that was never sent is attempted again at once, for any request class, and does not use the retry budget.
void UpstreamExecutor::retry_or_fail(ActiveRequest& request, Delivery delivery) {
    if (delivery == Delivery::never_sent)
        return schedule_retry(request, base::Timestamp(0));
    if (!may_retry(request))
        return fail(request);
    if (!retry_budget_.try_acquire()) {
        ++counters_.retry_budget_exhausted;
        return fail(request);
    }
    // The Retry-After of the failed host is ignored here, because the retry goes to another host.
    const base::Timestamp retry_at = retry::next_retry_time(
        clock_.unix_now(), request.attempt_count, base::Duration(0), routing_.retry_policy, random_);
    if (retry_at >= request.deadline)
        return fail(request);
    ++counters_.retries;
    schedule_retry(request, retry_at);
}

bool UpstreamExecutor::may_retry(const ActiveRequest& request) const {
    return request.traits.idempotent && request.attempt_count < routing_.retry_policy.max_attempts &&
           !circuit_breaker_.is_open() && request.tried_hosts.size() < balancer_.candidates().size();
}

void UpstreamExecutor::schedule_retry(ActiveRequest& request, base::Timestamp retry_at) {
    request.hedge_timer.cancel();
    request.retry_timer = timers_.schedule(retry_at, [this, &request] {
        std::erase_if(request.attempts, [](const auto& attempt) { return attempt->is_finished(); });
        if (!request.completed)
            start_attempt(request);
    });
}

}  // namespace cressledge::upstream
