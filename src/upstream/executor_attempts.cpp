// Choice of a host and start of an attempt. Results of attempts are in executor_results.cpp.

#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "upstream/executor.hpp"

namespace cressledge::upstream {
namespace {

using connection_admission::DescriptorPurpose;
using upstream_health::CallResult;
using upstream_health::HostId;
using upstream_health::no_host;

/// Delay before an attempt that got no file descriptor is started again.
constexpr base::Duration descriptor_retry_delay{10'000};

}  // namespace

// ---- choice of a host ----

void UpstreamExecutor::start_attempt(ActiveRequest& request) {
    // Only the first attempt waits for load probes.
    const bool is_first_attempt =
        request.attempt_count == 0 && request.outstanding_probes == 0 && request.probed_loads.empty();
    if (balancer_.probes_before_call() && is_first_attempt && probe_before_dispatch(request))
        return;
    start_attempt_on(request, pick_host(request));
}

HostId UpstreamExecutor::pick_host(const ActiveRequest& request) {
    return balancer_.pick(clock_.unix_now(), request.traits.affinity_key, request.tried_hosts, random_);
}

// Sends load probes for this request, which is dispatched when they have finished. Returns false if no probe was sent.
bool UpstreamExecutor::probe_before_dispatch(ActiveRequest& request) {
    balancer_.pick_probe_targets(random_, probe_targets_);
    const std::vector<HostId> targets = probe_targets_;
    for (const HostId host_id : targets)
        if (probe_runner_.start_load_probe(host_id, request.request_id))
            ++request.outstanding_probes;
    if (request.outstanding_probes == 0)
        return false;
    const base::Timestamp probe_deadline =
        std::min(request.deadline, clock_.unix_now() + routing_.probe_timeout);
    request.probe_timer =
        timers_.schedule(probe_deadline, [this, &request] { dispatch_after_probes(request); });
    return true;
}

void UpstreamExecutor::on_load_probe_result(request::RequestId request_id, HostId host_id,
                                            const Response* response) {
    const auto it = active_requests_.find(request_id);
    // The request has been dispatched already.
    if (it == active_requests_.end() || !it->second->probe_timer.is_scheduled())
        return;
    ActiveRequest& request = *it->second;
    --request.outstanding_probes;
    if (response != nullptr && response->load)
        if (const auto load = balancer_.effective_load(clock_.unix_now(), host_id, *response->load))
            request.probed_loads.push_back({host_id, *load});
    // All probes but one are enough, because the last one may be to a host that does not respond.
    const bool has_answer = !request.probed_loads.empty();
    if (request.outstanding_probes == 0 || (request.outstanding_probes == 1 && has_answer))
        dispatch_after_probes(request);
}

void UpstreamExecutor::dispatch_after_probes(ActiveRequest& request) {
    request.probe_timer.cancel();
    if (request.completed)
        return;
    const HostId least_loaded = load_balancing::least_loaded(request.probed_loads);
    start_attempt_on(request, least_loaded != no_host ? least_loaded : pick_host(request));
}

// ---- start of an attempt ----

void UpstreamExecutor::start_attempt_on(ActiveRequest& request, HostId host_id) {
    if (host_id == no_host)
        return fail_without_host(request);
    const base::Timestamp now = clock_.unix_now();
    AttemptObserver& observer = *this;
    request.attempts.push_back(std::make_unique<Attempt>(observer, timers_, request, host_id, now));
    Attempt& attempt = *request.attempts.back();
    balancer_.on_call_started(now, host_id);
    if (!connect(attempt))
        return;
    request.tried_hosts.push_back(host_id);
    ++request.attempt_count;
    ++counters_.attempts;
    if (!balancer_.probes_before_call())
        send_load_probes();
    set_attempt_deadline(attempt, now);
    schedule_hedge(request, now);
}

void UpstreamExecutor::fail_without_host(ActiveRequest& request) {
    // Another attempt may be in flight, and may succeed.
    if (!request.attempts.empty())
        return;
    std::uint64_t suppressed = 0;
    if (failure_log_limiter_.try_acquire(request_manager_.now(), suppressed))
        base::log_warning("upstream: no host available request={} suppressed={}", request.external_id,
                          suppressed);
    fail(request);
}

void UpstreamExecutor::send_load_probes() {
    balancer_.pick_probe_targets(random_, probe_targets_);
    for (const HostId host_id : probe_targets_)
        probe_runner_.start_load_probe(host_id);
}

// An attempt that can be retried on another host gets only a fraction of the time until the request's deadline, so that
// a host that accepts calls and never responds does not use it up.
void UpstreamExecutor::set_attempt_deadline(Attempt& attempt, base::Timestamp now) {
    const ActiveRequest& request = attempt.request();
    const bool has_alternatives =
        request.traits.idempotent && request.tried_hosts.size() < balancer_.candidates().size();
    if (!has_alternatives)
        return;
    const base::Timestamp deadline =
        retry::attempt_deadline(now, request.deadline, request.attempt_count, routing_.retry_policy);
    if (deadline < request.deadline)
        attempt.set_deadline(deadline);
}

void UpstreamExecutor::schedule_hedge(ActiveRequest& request, base::Timestamp now) {
    if (!request.traits.idempotent || !routing_.hedging_enabled || request.attempt_count > 1)
        return;
    const base::Duration delay = hedge_policies_[request.traits.class_index].delay();
    if (delay == base::Duration::max())
        return;
    request.hedge_timer = timers_.schedule(now + delay, [this, &request] { start_hedge(request); });
}

void UpstreamExecutor::start_hedge(ActiveRequest& request) {
    if (request.completed || request.attempts.size() != 1 || circuit_breaker_.is_open())
        return;
    if (!retry_budget_.try_acquire())
        return;
    ++counters_.hedges;
    start_attempt(request);
}

// ---- connection ----

// Returns false if no connection could be opened. The attempt is then finished or destroyed.
bool UpstreamExecutor::connect(Attempt& attempt) {
    if (try_idle_connection(attempt))
        return true;
    const base::Timestamp now = clock_.unix_now();
    auto lease = acquire_descriptor(now);
    const auto address = net::Address::parse(hosts_.at(attempt.host_id()).spec.address);
    int error = lease ? 0 : UV_EMFILE;
    net::Stream* stream = nullptr;
    if (lease && address)
        stream = net::Stream::connect(loop_.uv(), *address, attempt, std::move(lease), &error);
    attempt.use_new_connection({stream, now});
    if (stream != nullptr)
        return true;
    if (net::is_descriptor_exhaustion(error)) {
        postpone_until_descriptor(attempt);
        return false;
    }
    attempt.request().tried_hosts.push_back(attempt.host_id());
    on_attempt_result(attempt, CallResult::connection_refused);
    return false;
}

// A call that must not run twice always gets a new connection: on a reused one, a reset during the call could not be
// told from the close of an idle connection.
bool UpstreamExecutor::try_idle_connection(Attempt& attempt) {
    const ActiveRequest& request = attempt.request();
    const bool is_http = hosts_.at(attempt.host_id()).spec.protocol == "http";
    if (!request.traits.idempotent || request.needs_new_connection || !is_http)
        return false;
    const HostConnection idle = idle_connections_.take(attempt.host_id(), attempt);
    if (idle.stream == nullptr)
        return false;
    ++counters_.reused_connections;
    attempt.use_idle_connection(idle);
    return true;
}

// If the budget is exhausted, an idle connection is closed to free a descriptor: a call takes precedence over idle
// connections.
connection_admission::FileDescriptorBudget::Lease UpstreamExecutor::acquire_descriptor(base::Timestamp now) {
    auto lease = descriptors_.try_acquire(now, DescriptorPurpose::upstream);
    if (!lease && idle_connections_.close_any())
        lease = descriptors_.try_acquire(now, DescriptorPurpose::upstream);
    return lease;
}

// Destroys the attempt. Nothing of it was sent, so that it may be started later for any request class. The admission
// controller ends the request at its deadline.
void UpstreamExecutor::postpone_until_descriptor(Attempt& attempt) {
    ActiveRequest& request = attempt.request();
    const bool is_only_attempt = request.attempts.size() == 1;
    std::erase_if(request.attempts,
                  [&attempt](const auto& candidate) { return candidate.get() == &attempt; });
    if (!is_only_attempt)
        return;
    postponed_requests_.push_back(request.request_id);
    if (descriptor_retry_timer_.is_scheduled())
        return;
    descriptor_retry_timer_ =
        timers_.schedule(clock_.unix_now() + descriptor_retry_delay, [this] { retry_postponed_requests(); });
}

void UpstreamExecutor::retry_postponed_requests() {
    const auto request_ids = std::exchange(postponed_requests_, {});
    for (const request::RequestId request_id : request_ids) {
        const auto it = active_requests_.find(request_id);
        if (it != active_requests_.end() && !it->second->completed)
            start_attempt(*it->second);
    }
}

void UpstreamExecutor::on_attempt_connected(Attempt& attempt) {
    const ActiveRequest& request = attempt.request();
    const upstream_health::HostSpec& spec = hosts_.at(attempt.host_id()).spec;
    if (spec.protocol == "scgi")
        return attempt.send(encode_scgi_request(request.work()), make_scgi_decoder());
    const bool keep_alive = request.traits.idempotent && idle_connections_.is_enabled();
    attempt.send(encode_http_request(request.work(), spec.address, keep_alive), make_http_decoder());
}

}  // namespace cressledge::upstream
