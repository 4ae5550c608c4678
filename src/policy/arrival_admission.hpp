// What becomes of a request on its arrival: queued, joined with an original, or rejected. After ACES: each
// band is admitted what the quanta of the period can pay for; README.md, "Decisions", has the reason for
// each tuned value and for what must hold besides.
//
// Invariants: a request of an unknown class never runs; an id that is known already changes nothing but the
// count of arrivals and the unread wait; what is rejected here leaves nothing but counts behind.
#pragma once

#include "policy/repeat_resolver.hpp"

namespace cressledge::policy::aces {

/// Admits arrivals.
class ArrivalAdmission {
public:
    /// All must outlive the object.
    ArrivalAdmission(ControllerState& state, const RunDeadlines& deadlines, RequestFinalizer& finalizer,
                     MemoryEvictor& evictor, RepeatResolver& repeats, RetryAdvisor& retry_advisor)
        : state_(state),
          deadlines_(deadlines),
          finalizer_(finalizer),
          evictor_(evictor),
          repeats_(repeats),
          retry_advisor_(retry_advisor) {}

    void on_arrived(const RequestArrived& event);

private:
    /// Takes the request into the table, queued.
    TrackedRequest& track(const RequestArrived& event, bool is_in_quota);
    void count_demand(const TrackedRequest& request, bool is_in_quota);
    bool admit(const TrackedRequest& request);
    /// Whether the server is well enough to run the request; lets a probe through while it fails.
    bool passes_health_check(const TrackedRequest& request);
    bool is_probe_due();
    /// Whether the request should be run to find out whether prices still hold.
    bool is_price_probe(const TrackedRequest& request) const;
    bool can_start_in_time(const TrackedRequest& request, double pending_quanta) const;
    bool has_free_core() const;
    bool fits_short_queue(const TrackedRequest& request) const;
    bool fits_budget(const TrackedRequest& request, double pending_quanta) const;

    ControllerState& state_;
    const RunDeadlines& deadlines_;
    RequestFinalizer& finalizer_;
    MemoryEvictor& evictor_;
    RepeatResolver& repeats_;
    RetryAdvisor& retry_advisor_;
    Timestamp last_probe_at_{0};
};

}  // namespace cressledge::policy::aces
