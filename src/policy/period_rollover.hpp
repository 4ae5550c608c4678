// Ends a period: closes its counts, moves old requests out of the main queue, and grants new quanta.
//
// Invariants: at the start of a period, requests that have waited a full period are in the backup queue,
// which holds at most the quanta of one period.
#pragma once

#include "policy/request_finalizer.hpp"

namespace cressledge::policy::aces {

/// Closes a budget period and opens the next.
class PeriodRollover {
public:
    /// Both arguments must outlive the object.
    PeriodRollover(ControllerState& state, RequestFinalizer& finalizer)
        : state_(state), finalizer_(finalizer) {}

    /// Starts the first period at the current time.
    void start() { period_start_ = state_.clock.now(); }
    /// Closes the current period if its length has passed. Returns whether it was closed.
    bool close_if_over();

private:
    void close_counts(double period_seconds);
    void move_old_requests_to_backup_queue();
    void bound_backup_queue();

    ControllerState& state_;
    RequestFinalizer& finalizer_;
    Timestamp period_start_{0};
};

}  // namespace cressledge::policy::aces
