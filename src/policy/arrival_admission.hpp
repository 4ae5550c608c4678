// Decides on arrival whether a request is queued, joined with its original, or rejected. As in ACES, a band
// admits requests while the quanta of the period cover their prices; README.md, "Decisions", explains each
// tuned value and the further conditions.
//
// Invariants: a request of an unknown class never runs; an id that is already known changes only the count of
// arrivals and the unread wait; a rejected request leaves only counts behind.
#pragma once

#include "policy/repeat_resolver.hpp"

namespace cressledge::policy::aces {

/// Admits or rejects requests on arrival.
class ArrivalAdmission {
public:
    /// All arguments must outlive the object.
    ArrivalAdmission(ControllerState& state, const RunDeadlines& deadlines, RequestFinalizer& finalizer,
                     MemoryEvictor& evictor, RepeatResolver& repeats, RetryAdvisor& retry_advisor)
        : state_(state),
          deadlines_(deadlines),
          finalizer_(finalizer),
          evictor_(evictor),
          repeats_(repeats),
          retry_advisor_(retry_advisor) {}

    /// Handles the arrival of a request.
    void on_arrived(const RequestArrived& event);

private:
    /// Inserts the request into the table in the state `queued`.
    TrackedRequest& track(const RequestArrived& event, bool is_in_quota);
    void count_demand(const TrackedRequest& request, bool is_in_quota);
    bool admit(const TrackedRequest& request);
    /// Whether the health of the server allows the request to run; a failing server admits only probes.
    bool passes_health_check(const TrackedRequest& request);
    bool is_probe_due();
    /// Whether the request should run to check whether the learned prices are still valid.
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
