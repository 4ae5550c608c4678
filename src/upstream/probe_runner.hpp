// Sends active health checks and load probes to upstream hosts and reports their results. The host set decides when a
// health check is due, and the balancer which hosts get load probes.
#pragma once

#include <memory>
#include <vector>

#include "base/timer_queue.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "net/loop.hpp"
#include "request/request_manager.hpp"
#include "upstream/idle_connection_pool.hpp"
#include "upstream/probe.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::upstream {

/// Owns the probes in flight. If the address of its host has changed meanwhile, a probe has no effect, except that its
/// load report is recorded.
class ProbeRunner final : private ProbeObserver {
public:
    /// Receives the results. on_load_probe_result and on_health_result are called on a later iteration of the event
    /// loop than the last byte of the response is read.
    class ResultObserver {
    public:
        virtual ~ResultObserver() = default;

        /// A host has responded to a load probe.
        virtual void on_probe_response(upstream_health::HostId host_id, const Response& response) = 0;

        /// A load probe has finished with a connection that may carry a call.
        virtual void on_probe_connection_reusable(upstream_health::HostId host_id,
                                                  HostConnection connection) = 0;

        /// The load probe that a request waits for has finished. `response` is null if there is no usable one.
        virtual void on_load_probe_result(request::RequestId request_id, upstream_health::HostId host_id,
                                          const Response* response) = 0;

        /// A finished probe has a result for the health of the host.
        virtual void on_health_result(upstream_health::HostId host_id,
                                      upstream_health::CallResult result) = 0;
    };

    /// All references must outlive the runner.
    ProbeRunner(net::Loop& loop, base::TimerQueue& timers, base::Clock& clock,
                connection_admission::FileDescriptorBudget& descriptors,
                const upstream_health::HostSet& hosts, IdleConnectionPool& idle_connections,
                ResultObserver& results);

    /// Starts a health check, unless too many probes are in flight or there is no file descriptor.
    void start_health_check(upstream_health::HostId host_id);

    /// Starts a load probe. `request_id` is the request that waits for the result; 0: none. Returns false if no probe
    /// was started.
    bool start_load_probe(upstream_health::HostId host_id, request::RequestId request_id = 0);

    /// The number of load probes since the start, those that got no file descriptor included.
    std::uint64_t load_probe_count() const { return load_probe_count_; }

    /// Destroys all probes, without results.
    void clear() { probes_.clear(); }

private:
    void on_health_check_connected(HealthCheck& check) override;
    void on_load_probe_connected(LoadProbe& probe) override;
    void on_load_probe_response(LoadProbe& probe) override;
    void on_health_check_finished(HealthCheck& check, upstream_health::CallResult result) override;
    void on_load_probe_finished(LoadProbe& probe, upstream_health::CallResult result) override;

    bool connect(std::unique_ptr<Probe> new_probe, base::Timestamp now);
    bool has_current_address(const Probe& probe) const;
    bool uses_scgi(const Probe& probe) const;
    void erase(const Probe& probe);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    base::Clock& clock_;
    connection_admission::FileDescriptorBudget& descriptors_;
    const upstream_health::HostSet& hosts_;
    IdleConnectionPool& idle_connections_;
    ResultObserver& results_;
    std::vector<std::unique_ptr<Probe>> probes_;
    std::uint64_t load_probe_count_ = 0;
};

}  // namespace cressledge::upstream
