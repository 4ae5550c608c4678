// A request that the executor has been given and has not reported back.
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

/// What the rules of its class mean for a request's attempts.
struct RequestTraits {
    std::size_t class_index = 0;
    /// Whether it may run more than once.
    bool idempotent = false;
    /// Hash of its lookup key; 0: it may go to any host.
    std::uint64_t affinity_key = 0;
};

/// Copies what it needs of the work, and owns the attempts and timers of the request.
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

    /// What goes to a host. The affinity key decides on the host only.
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

    /// Those under way, one or with a hedge two, and finished ones until the next retry.
    std::vector<std::unique_ptr<Attempt>> attempts;
    std::vector<upstream_health::HostId> tried_hosts;
    std::uint32_t attempt_count = 0;
    base::TimerHandle retry_timer;
    base::TimerHandle hedge_timer;

    /// While it waits for load probes of its own: when it stops waiting, how many are out, and what came back.
    base::TimerHandle probe_timer;
    std::size_t outstanding_probes = 0;
    std::vector<load_balancing::ProbeAnswer> probed_loads;

    /// An idle connection proved stale: the next attempt opens one.
    bool needs_new_connection = false;
    /// Its result is fixed, and reported on the loop's next turn.
    bool completed = false;
};

}  // namespace cressledge::upstream
