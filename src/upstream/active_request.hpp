// A request that the executor runs: from run() until its result has been reported to the request manager.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"
#include "load_balancing/load_probes.hpp"
#include "request/request_manager.hpp"
#include "upstream/attempt.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::upstream {

/// Properties of a request, from its class and lookup key, that decide on its attempts.
struct RequestTraits {
    std::size_t class_index = 0;
    /// Whether the request may run more than once.
    bool idempotent = false;
    /// Hash of the lookup key; 0: no affinity to a host.
    std::uint64_t affinity_key = 0;
};

/// Copies the fields of `request::Work` that it needs, and owns the attempts and timers of the request.
struct ActiveRequest {
    ActiveRequest(const request::Work& work, const RequestTraits& request_traits)
        : request_id(work.request_id),
          external_id(work.external_id),
          class_name(work.class_name),
          body(work.body),
          reserved_kb(work.reserved_kb),
          deadline(work.deadline),
          accepted_at(work.accepted_at),
          traits(request_traits) {}
    ActiveRequest(const ActiveRequest&) = delete;
    ActiveRequest& operator=(const ActiveRequest&) = delete;

    void cancel_timers() {
        retry_timer.cancel();
        hedge_timer.cancel();
        probe_timer.cancel();
    }

    /// Returns the work to encode for a host, without the affinity key, which is used for the choice of the host only.
    request::Work work() const {
        return {request_id, external_id, class_name, body, reserved_kb, accepted_at, deadline, {}};
    }

    const request::RequestId request_id;
    const std::string external_id;
    const std::string class_name;
    const std::string body;
    const double reserved_kb;
    const base::Timestamp deadline;
    const base::Timestamp accepted_at;
    const RequestTraits traits;

    /// Attempts in flight (one, or two with a hedged request), and finished ones until the next retry.
    std::vector<std::unique_ptr<Attempt>> attempts;
    std::vector<upstream_health::HostId> tried_hosts;
    std::uint32_t attempt_count = 0;
    base::TimerHandle retry_timer;
    base::TimerHandle hedge_timer;

    /// Ends the wait for the load probes that were sent for this request.
    base::TimerHandle probe_timer;
    /// Load probes of this request without a result so far.
    std::size_t outstanding_probes = 0;
    /// The loads that these probes have reported.
    std::vector<load_balancing::ProbeAnswer> probed_loads;

    /// Set after an idle connection was stale: the next attempt opens a new connection.
    bool needs_new_connection = false;
    /// Whether the result is final; it is reported on the next iteration of the event loop.
    bool completed = false;
};

}  // namespace cressledge::upstream
