// The end of a period: counts are closed, old requests leave the main queue, and new quanta are granted.
//
// Invariants: what has waited a whole period is in the backup queue; that holds a period's quanta at most.
#pragma once

#include "policy/request_finalizer.hpp"

namespace cressledge::policy::aces {

/// Closes a period and opens the next.
class PeriodRollover {
public:
    /// Both must outlive the object.
    PeriodRollover(ControllerState& state, RequestFinalizer& finalizer)
        : state_(state), finalizer_(finalizer) {}

    /// The first period begins now.
    void start() { period_start_ = state_.clock.now(); }
    /// Closes the present period if its length is over; false if not.
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
