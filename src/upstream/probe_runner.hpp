// Sends health checks and load probes to upstream hosts, and reports what they find. When and whom to probe is decided
// elsewhere: by the host set and the balancer.
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

/// Owns the probes under way. A probe whose host has got another address meanwhile counts for nothing.
class ProbeRunner final : private ProbeObserver {
public:
    /// Receives the results. What is said of a finished probe comes on a later turn of the loop than its last byte.
    class ResultObserver {
    public:
        virtual ~ResultObserver() = default;

        /// A host has responded to a load probe.
        virtual void on_probe_response(upstream_health::HostId host_id, const Response& response) = 0;

        /// A load probe has left an open connection behind.
        virtual void on_probe_connection_free(upstream_health::HostId host_id, HostConnection connection) = 0;

        /// The load probe that a request waits for has finished. Null: it brought nothing.
        virtual void on_load_probe_result(request::RequestId request_id, upstream_health::HostId host_id,
                                          const Response* response) = 0;

        /// What a finished probe says of the host's health.
        virtual void on_health_result(upstream_health::HostId host_id,
                                      upstream_health::CallResult result) = 0;
    };

    /// All references must outlive the runner.
    ProbeRunner(net::Loop& loop, base::TimerQueue& timers, base::Clock& clock,
                connection_admission::FileDescriptorBudget& descriptors,
                const upstream_health::HostSet& hosts, IdleConnectionPool& idle_connections,
                ResultObserver& results);

    /// Checks the host; `results` gets the result unless the host's address changes meanwhile.
    void start_health_check(upstream_health::HostId host_id);

    /// `request_id`: the request that waits for the result; 0: none. Returns false when no probe was sent.
    bool start_load_probe(upstream_health::HostId host_id, request::RequestId request_id = 0);

    /// Load probes sent since the start.
    std::uint64_t load_probe_count() const { return load_probe_count_; }

    /// Ends all probes without a result.
    void clear() { probes_.clear(); }

private:
    void on_health_check_connected(HealthCheck& check) override;
    void on_load_probe_connected(LoadProbe& probe) override;
    void on_load_probe_response(LoadProbe& probe) override;
    void on_health_check_finished(HealthCheck& check, upstream_health::CallResult result) override;
    void on_load_probe_finished(LoadProbe& probe, upstream_health::CallResult result) override;

    bool connect(std::unique_ptr<Probe> created, base::Timestamp now);
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
