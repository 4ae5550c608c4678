#include "policy/period_rollover.hpp"

#include <set>

#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {

bool PeriodRollover::close_if_over() {
    const Timestamp now = state_.clock.now();
    if (now - period_start_ < state_.period)
        return false;
    close_counts(to_seconds(now - period_start_));
    move_old_requests_to_backup_queue();
    bound_backup_queue();
    period_start_ = now;
    state_.budget.open_period(state_.period_capacity_quanta(), state_.requests.run_queue());
    return true;
}

void PeriodRollover::close_counts(double period_seconds) {
    CapacityEstimator& capacity = state_.estimates.capacity;
    capacity.close_period(period_seconds);
    const double capacity_quanta = capacity.quanta_per_second() * period_seconds;
    state_.statistics.close_period(state_.budget.demand_quanta(), capacity_quanta);
    state_.budget.close_demand();
    state_.quotas.close_period(period_seconds, capacity.quanta_per_second());
}

void PeriodRollover::move_old_requests_to_backup_queue() {
    const std::set<QueuePosition> main_queue = state_.requests.run_queue().main_queue();
    for (const QueuePosition& position : main_queue)
        if (state_.clock.now() - position.arrived_at >= state_.period)
            state_.requests.move_to_backup_queue(state_.requests.at(position.id));
}

void PeriodRollover::bound_backup_queue() {
    const RunQueue& queue = state_.requests.run_queue();
    const double max_quanta = state_.period_capacity_quanta();
    while (queue.backup_quanta() > max_quanta && !queue.backup_queue().empty())
        finalizer_.reject(state_.requests.at(queue.backup_queue().rbegin()->id));
}

}  // namespace cressledge::policy::aces
