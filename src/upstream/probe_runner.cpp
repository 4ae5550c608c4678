#include "upstream/probe_runner.hpp"

#include <utility>

#include "upstream/codec.hpp"

namespace cressledge::upstream {
namespace {

using upstream_health::CallResult;
using upstream_health::HostId;

constexpr base::Duration probe_timeout{1'000'000};
/// Limits for the probes of both kinds in flight, from which on no further health check or load probe is sent.
constexpr std::size_t max_probes_for_health_check = 16;
constexpr std::size_t max_probes_for_load_probe = 256;

}  // namespace

ProbeRunner::ProbeRunner(net::Loop& loop, base::TimerQueue& timers, base::Clock& clock,
                         connection_admission::FileDescriptorBudget& descriptors,
                         const upstream_health::HostSet& hosts, IdleConnectionPool& idle_connections,
                         ResultObserver& results)
    : loop_(loop),
      timers_(timers),
      clock_(clock),
      descriptors_(descriptors),
      hosts_(hosts),
      idle_connections_(idle_connections),
      results_(results) {}

void ProbeRunner::start_health_check(HostId host_id) {
    if (probes_.size() >= max_probes_for_health_check)
        return;
    const std::string& address = hosts_.at(host_id).spec.address;
    ProbeObserver& observer = *this;
    connect(std::make_unique<HealthCheck>(observer, timers_, host_id, address), clock_.unix_now());
}

bool ProbeRunner::start_load_probe(HostId host_id, request::RequestId request_id) {
    if (probes_.size() >= max_probes_for_load_probe || hosts_.at(host_id).spec.protocol != "http")
        return false;
    const std::string& address = hosts_.at(host_id).spec.address;
    ProbeObserver& observer = *this;
    auto new_probe = std::make_unique<LoadProbe>(observer, timers_, host_id, address, request_id);
    LoadProbe& probe = *new_probe;
    const base::Timestamp now = clock_.unix_now();
    ++load_probe_count_;
    const HostConnection idle = idle_connections_.take(host_id, probe);
    if (idle.stream == nullptr)
        return connect(std::move(new_probe), now);
    probes_.push_back(std::move(new_probe));
    probe.start_on_idle_connection(idle, now + probe_timeout);
    return true;
}

// Returns false if there is no file descriptor for the probe. This says nothing about the health of the host.
bool ProbeRunner::connect(std::unique_ptr<Probe> new_probe, base::Timestamp now) {
    auto lease = descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::upstream);
    if (!lease)
        return false;
    Probe& probe = *new_probe;
    probes_.push_back(std::move(new_probe));
    const net::Address address = *net::Address::parse(probe.address());
    net::Stream* stream = net::Stream::connect(loop_.uv(), address, probe, std::move(lease));
    probe.start({stream, now}, now + probe_timeout);
    if (stream == nullptr)
        probe.finish(CallResult::connection_refused);
    return true;
}

bool ProbeRunner::has_current_address(const Probe& probe) const {
    return hosts_.at(probe.host_id()).spec.address == probe.address();
}

bool ProbeRunner::uses_scgi(const Probe& probe) const {
    return hosts_.at(probe.host_id()).spec.protocol == "scgi";
}

void ProbeRunner::erase(const Probe& probe) {
    std::erase_if(probes_, [&probe](const auto& candidate) { return candidate.get() == &probe; });
}

// SCGI has no health request, so that an SCGI host passes if it accepts the connection.
void ProbeRunner::on_health_check_connected(HealthCheck& check) {
    if (uses_scgi(check))
        return check.finish(CallResult::ok);
    check.send(encode_health_request(check.address(), false));
}

void ProbeRunner::on_load_probe_connected(LoadProbe& probe) {
    if (uses_scgi(probe))
        return probe.finish(CallResult::ok);
    probe.send(encode_health_request(probe.address(), idle_connections_.is_enabled()));
}

void ProbeRunner::on_load_probe_response(LoadProbe& probe) {
    results_.on_probe_response(probe.host_id(), *probe.response());
    if (probe.can_reuse_connection() && idle_connections_.is_enabled() && has_current_address(probe))
        results_.on_probe_connection_reusable(probe.host_id(), probe.take_connection());
}

void ProbeRunner::on_health_check_finished(HealthCheck& check, CallResult result) {
    if (has_current_address(check))
        results_.on_health_result(check.host_id(), result);
    erase(check);
}

void ProbeRunner::on_load_probe_finished(LoadProbe& probe, CallResult result) {
    const bool is_current = has_current_address(probe);
    if (probe.request_id() != 0)
        results_.on_load_probe_result(probe.request_id(), probe.host_id(),
                                      is_current ? probe.response() : nullptr);
    // The host may have closed the idle connection before the probe, which says nothing about its health.
    const bool may_be_stale = probe.connection_reused() && result == CallResult::error;
    if (is_current && !may_be_stale)
        results_.on_health_result(probe.host_id(), result);
    erase(probe);
}

}  // namespace cressledge::upstream
