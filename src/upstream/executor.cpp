// Host updates, and the start and completion of requests. Attempts are in executor_attempts.cpp and
// executor_results.cpp.
#include "upstream/executor.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"

namespace cressledge::upstream {
namespace {

using upstream_health::CallResult;
using upstream_health::HostId;
using upstream_health::HostState;
using upstream_health::HostStateChange;

constexpr base::Duration periodic_check_interval{250'000};
/// Stream of the random generator; generators with the same seed must use different streams.
constexpr std::uint64_t random_stream = 9;

IdleConnectionPool::Limits pool_limits(const config::RoutingConfig& routing) {
    return {routing.max_idle_connections_per_server, routing.max_idle_connections, routing.max_connection_age,
            routing.idle_connection_timeout};
}

bool accepts_calls(HostState state) {
    return state == HostState::ready || state == HostState::warming_up;
}

bool closes_idle_connections(HostState state) {
    return state == HostState::draining || state == HostState::removed || state == HostState::ejected;
}

bool is_added_or_removed(const HostStateChange& change) {
    return change.old_state == HostState::removed || change.new_state == HostState::removed;
}

upstream_health::HostSpec to_host_spec(const config::Upstream& server) {
    return {server.name,          server.address, server.protocol,  server.data_centre,
            server.machine_model, server.weight,  server.is_drained};
}

}  // namespace

UpstreamExecutor::UpstreamExecutor(net::Loop& loop, base::TimerQueue& timers,
                                   request::RequestManager& request_manager, base::Clock& clock,
                                   connection_admission::FileDescriptorBudget& descriptors,
                                   const config::RoutingConfig& routing, std::uint64_t seed)
    : loop_(loop),
      timers_(timers),
      request_manager_(request_manager),
      clock_(clock),
      descriptors_(descriptors),
      routing_(routing),
      random_(seed, random_stream),
      hosts_(routing.upstream_health),
      balancer_(hosts_, routing),
      retry_budget_(routing.retry_budget_ratio),
      hedge_policies_(request_manager.settings().classes.size(), retry::HedgePolicy(routing.retry_policy)),
      idle_connections_(timers, pool_limits(routing)),
      probe_runner_(loop, timers, clock, descriptors, hosts_, idle_connections_, *this) {}

UpstreamExecutor::~UpstreamExecutor() {
    // Attempts report to this object when they are destroyed, and use its other members.
    active_requests_.clear();
    probe_runner_.clear();
}

void UpstreamExecutor::start() {
    run_periodic_checks();
}

void UpstreamExecutor::reconfigure(const config::RoutingConfig& routing) {
    routing_ = routing;
    hosts_.reconfigure(routing.upstream_health);
    balancer_.reconfigure(routing);
    retry_budget_.reconfigure(routing.retry_budget_ratio);
    idle_connections_.reconfigure(pool_limits(routing));
}

// ---- hosts ----

void UpstreamExecutor::set_servers(const std::vector<config::Upstream>& servers) {
    std::vector<upstream_health::HostSpec> specs;
    specs.reserve(servers.size());
    for (const config::Upstream& server : servers)
        specs.push_back(to_host_spec(server));
    const auto changes = hosts_.update(clock_.unix_now(), specs, random_);
    idle_connections_.reserve_hosts(hosts_.slot_count());
    learned_stats_.resize(hosts_.slot_count());
    for (const HostStateChange& change : changes)
        if (is_added_or_removed(change))
            learned_stats_[change.host_id] = {};
    apply_host_changes(changes);
    balancer_.refresh();
}

void UpstreamExecutor::run_periodic_checks() {
    const base::Timestamp now = clock_.unix_now();
    apply_host_changes(hosts_.tick(now));
    if (routing_.health_checks_enabled)
        for (const HostId host_id : hosts_.take_due_health_checks(now, random_))
            probe_runner_.start_health_check(host_id);
    periodic_timer_ = timers_.schedule(now + periodic_check_interval, [this] { run_periodic_checks(); });
}

void UpstreamExecutor::apply_host_changes(const std::vector<HostStateChange>& changes) {
    if (changes.empty())
        return;
    balancer_.refresh();
    for (const HostStateChange& change : changes) {
        if (closes_idle_connections(change.new_state))
            idle_connections_.close_all(change.host_id);
        // Added and removed hosts are in the log line of the inventory reload.
        if (!is_added_or_removed(change))
            log_host_change(change);
    }
    idle_connections_.reserve_hosts(hosts_.slot_count());
}

void UpstreamExecutor::log_host_change(const HostStateChange& change) {
    std::uint64_t suppressed = 0;
    if (change_log_limiter_.try_acquire(request_manager_.now(), suppressed))
        base::log_info("upstream: host state changed host={} from={} to={} reason=\"{}\" suppressed={}",
                       hosts_.at(change.host_id).spec.name, to_string(change.old_state),
                       to_string(change.new_state), change.reason, suppressed);
}

void UpstreamExecutor::retain_connection(HostId host_id, HostConnection connection) {
    if (!accepts_calls(hosts_.at(host_id).state))
        return connection.stream->close();
    idle_connections_.add(clock_.unix_now(), host_id, connection);
}

void UpstreamExecutor::on_health_result(HostId host_id, CallResult result) {
    apply_host_changes(hosts_.on_health_check(clock_.unix_now(), host_id, result));
}

void UpstreamExecutor::on_probe_response(HostId host_id, const Response& response) {
    record_load_report(host_id, response);
}

void UpstreamExecutor::on_probe_connection_reusable(HostId host_id, HostConnection connection) {
    retain_connection(host_id, connection);
}

void UpstreamExecutor::record_load_report(HostId host_id, const Response& response) {
    if (!response.has_load_report)
        return;
    if (!response.load) {
        ++counters_.malformed_load_reports;
        return;
    }
    ++counters_.load_reports;
    balancer_.on_load_report(clock_.unix_now(), host_id, *response.load);
}

// ---- requests ----

void UpstreamExecutor::run(const request::Work& work) {
    auto new_request = std::make_unique<ActiveRequest>(work, make_traits(work));
    ActiveRequest& request = *new_request;
    active_requests_[work.request_id] = std::move(new_request);
    retry_budget_.on_first_attempt();
    ++counters_.requests;
    start_attempt(request);
}

RequestTraits UpstreamExecutor::make_traits(const request::Work& work) const {
    RequestTraits traits;
    if (routing_.key_affinity_enabled)
        traits.affinity_key = load_balancing::affinity_key(work.affinity_key);
    const std::size_t class_index = request_manager_.class_index_of(work.class_name);
    if (class_index == policy::unknown_index)
        return traits;
    traits.class_index = class_index;
    traits.idempotent =
        request_manager_.settings().classes[class_index].idempotency == policy::Idempotency::always;
    return traits;
}

void UpstreamExecutor::suspend(request::RequestId request_id) {
    complete(request_id, request::RunResult::killed, {});
}

void UpstreamExecutor::release(request::RequestId request_id) {
    active_requests_.erase(request_id);
}

void UpstreamExecutor::fail(ActiveRequest& request, std::string body) {
    complete(request.request_id, request::RunResult::failed, std::move(body));
}

// The result is reported on the next iteration of the event loop, so that the actions of the admission controller that
// are being applied are finished first, in order.
void UpstreamExecutor::complete(request::RequestId request_id, request::RunResult result, std::string body) {
    const auto it = active_requests_.find(request_id);
    if (it == active_requests_.end() || it->second->completed)
        return;
    ActiveRequest& request = *it->second;
    request.completed = true;
    request.cancel_timers();
    for (const auto& attempt : request.attempts)
        attempt->close_connection();
    timers_.schedule_detached(base::Timestamp(0), [this, request_id, result, body = std::move(body)] {
        if (active_requests_.erase(request_id) != 0)
            request_manager_.run_finished(request_id, result, body);
    });
}

// The CPU utilization of the hosts is not known; the number of calls in flight is used instead.
bool UpstreamExecutor::request_gauges(std::uint64_t query_id) {
    const auto calls = static_cast<double>(active_requests_.size());
    policy::Gauges gauges;
    gauges.cpu_utilization = std::min(1.0, calls / request_manager_.settings().cores);
    gauges.runnable = calls;
    request_manager_.gauges_received(query_id, gauges);
    return true;
}

bool UpstreamExecutor::request_health_check(std::uint64_t query_id) {
    const base::Timestamp now = clock_.unix_now();
    const auto& candidates = balancer_.candidates();
    const bool passed = std::any_of(candidates.begin(), candidates.end(), [&](HostId host_id) {
        return !balancer_.is_deprioritized(now, host_id);
    });
    request_manager_.health_check_finished(query_id, passed);
    return true;
}

}  // namespace cressledge::upstream
