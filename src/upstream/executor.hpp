// Runs requests by calling the upstream hosts of the operator's inventory over HTTP or SCGI.
//
// The executor carries out decisions that other modules make: upstream_health::HostSet decides which hosts may be
// called, load_balancing::Balancer chooses one of them, and the policies in retry/ decide on further attempts. It owns
// the attempts, the connection pool and the probes.
//
// Invariant: a request that is not idempotent is attempted again only if nothing of it was sent, because the connection
// was refused or there was no file descriptor for it.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/log_rate_limiter.hpp"
#include "config/inventory.hpp"
#include "config/routing.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "learned_state/learned_state.hpp"
#include "load_balancing/balancer.hpp"
#include "load_balancing/load_reports.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"
#include "request/request_manager.hpp"
#include "retry/retry_policy.hpp"
#include "upstream/active_request.hpp"
#include "upstream/attempt.hpp"
#include "upstream/codec.hpp"
#include "upstream/idle_connection_pool.hpp"
#include "upstream/probe_runner.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::upstream {

/// The executor that runs each request as a call to an upstream host.
class UpstreamExecutor final : public request::Executor,
                               private AttemptObserver,
                               private ProbeRunner::ResultObserver {
public:
    /// Totals since the start.
    struct Counters {
        std::uint64_t requests = 0;
        std::uint64_t attempts = 0;
        std::uint64_t retries = 0;
        /// Hedged requests: second attempts that were started while the first was in flight.
        std::uint64_t hedges = 0;
        /// Attempts on connections from the connection pool.
        std::uint64_t reused_connections = 0;
        /// Requests that failed because the retry budget was exhausted.
        std::uint64_t retry_budget_exhausted = 0;
        /// Attempts on idle connections that the host had already closed.
        std::uint64_t stale_connections = 0;
        std::uint64_t load_probes = 0;
        std::uint64_t load_reports = 0;
        std::uint64_t malformed_load_reports = 0;
    };

    /// All references must outlive the executor. `seed` seeds the random choice of hosts and the retry jitter.
    UpstreamExecutor(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& request_manager,
                     base::Clock& clock, connection_admission::FileDescriptorBudget& descriptors,
                     const config::RoutingConfig& routing, std::uint64_t seed);
    ~UpstreamExecutor() override;

    /// Replaces the hosts, from the next call on. Calls in flight are not interrupted.
    void set_servers(const std::vector<config::Upstream>& servers);

    /// Applies new settings, from the next decision on. Calls in flight and idle connections are kept, even beyond the
    /// new limits.
    void reconfigure(const config::RoutingConfig& routing);

    /// Starts the active health checks and the periodic evaluation of host states.
    void start();

    /// Sets the member ids of the live processes of the fleet, this one included, among which the hosts are divided.
    void set_peers(std::vector<std::string> member_ids) {
        balancer_.update_peers(clock_.unix_now(), std::move(member_ids));
    }

    /// Returns the learned statistics of the listed hosts, by host name.
    learned_state::UpstreamStatsByName learned_stats() const;

    /// Restores the statistics of an earlier process. Hosts that failed more than half of their calls are deprioritized
    /// for one second.
    void restore(const learned_state::UpstreamStatsByName& stats_by_name);

    void run(const request::Work& work) override;
    void suspend(request::RequestId request_id) override;
    /// Runs are never paused and make no dependency calls, so that the next three functions do nothing.
    void resume(request::RequestId) override {}
    void deliver_call_reply(request::RequestId, std::string_view) override {}
    void skip_call(request::RequestId, std::uint64_t) override {}
    bool request_gauges(std::uint64_t query_id) override;
    bool request_health_check(std::uint64_t query_id) override;
    void release(request::RequestId request_id) override;

    /// Logs the number of hosts by state, the counters, and up to `max_hosts` hosts that are neither ready nor warming
    /// up.
    void log_report(std::size_t max_hosts) const;

    /// Returns the totals since the start.
    Counters counters() const;

    /// The number of hosts that this process may call now.
    std::size_t candidate_count() const { return balancer_.candidates().size(); }
    /// The hosts of the inventory and their health states.
    const upstream_health::HostSet& hosts() const { return hosts_; }

private:
    /// Whether a call that failed may have run.
    enum class Delivery { unknown, never_sent };

    void on_attempt_connected(Attempt& attempt) override;
    void on_attempt_result(Attempt& attempt, upstream_health::CallResult result) override;
    void on_attempt_abandoned(Attempt& attempt) override;

    void on_probe_response(upstream_health::HostId host_id, const Response& response) override;
    void on_probe_connection_reusable(upstream_health::HostId host_id, HostConnection connection) override;
    void on_load_probe_result(request::RequestId request_id, upstream_health::HostId host_id,
                              const Response* response) override;
    void on_health_result(upstream_health::HostId host_id, upstream_health::CallResult result) override;

    RequestTraits make_traits(const request::Work& work) const;

    void start_attempt(ActiveRequest& request);
    bool probe_before_dispatch(ActiveRequest& request);
    void dispatch_after_probes(ActiveRequest& request);
    upstream_health::HostId pick_host(const ActiveRequest& request);
    void start_attempt_on(ActiveRequest& request, upstream_health::HostId host_id);
    void fail_without_host(ActiveRequest& request);
    void send_load_probes();
    void set_attempt_deadline(Attempt& attempt, base::Timestamp now);
    void schedule_hedge(ActiveRequest& request, base::Timestamp now);
    void start_hedge(ActiveRequest& request);

    bool connect(Attempt& attempt);
    bool try_idle_connection(Attempt& attempt);
    connection_admission::FileDescriptorBudget::Lease acquire_descriptor(base::Timestamp now);
    void postpone_until_descriptor(Attempt& attempt);
    void retry_postponed_requests();

    void log_failure(Attempt& attempt, upstream_health::CallResult result);
    void record_result(Attempt& attempt, upstream_health::CallResult result, base::Timestamp now);
    void record_stale_connection(Attempt& attempt, base::Timestamp now);
    void record_load_report(upstream_health::HostId host_id, const Response& response);
    void succeed(Attempt& attempt, base::Timestamp now);
    void on_last_attempt_failed(Attempt& attempt, upstream_health::CallResult result, bool stale);
    void retry_or_fail(ActiveRequest& request, Delivery delivery);
    bool may_retry(const ActiveRequest& request) const;
    void schedule_retry(ActiveRequest& request, base::Timestamp retry_at);

    void fail(ActiveRequest& request, std::string body = {});
    void complete(request::RequestId request_id, request::RunResult result, std::string body);

    void run_periodic_checks();
    void apply_host_changes(const std::vector<upstream_health::HostStateChange>& changes);
    void log_host_change(const upstream_health::HostStateChange& change);
    void retain_connection(upstream_health::HostId host_id, HostConnection connection);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    request::RequestManager& request_manager_;
    base::Clock& clock_;
    connection_admission::FileDescriptorBudget& descriptors_;
    config::RoutingConfig routing_;
    upstream_health::Random random_;
    upstream_health::HostSet hosts_;
    load_balancing::Balancer balancer_;
    retry::RetryBudget retry_budget_;
    retry::CircuitBreaker circuit_breaker_;
    /// Indexed by request class.
    std::vector<retry::HedgePolicy> hedge_policies_;
    /// Indexed by host id.
    std::vector<learned_state::UpstreamStats> learned_stats_;
    IdleConnectionPool idle_connections_;
    ProbeRunner probe_runner_;
    std::unordered_map<request::RequestId, std::unique_ptr<ActiveRequest>> active_requests_;
    /// Requests whose next attempt waits for a file descriptor; nothing of that attempt has been sent.
    std::deque<request::RequestId> postponed_requests_;
    base::TimerHandle descriptor_retry_timer_;
    base::TimerHandle periodic_timer_;
    Counters counters_;
    base::LogRateLimiter failure_log_limiter_;
    base::LogRateLimiter change_log_limiter_;
    /// Reused buffer for the targets of load probes.
    std::vector<upstream_health::HostId> probe_targets_;
};

}  // namespace cressledge::upstream
