// Dependency calls in flight, and how many the dependency takes well. README.md has the reason for each
// value.
//
// Invariants: calls draw on a budget of call seconds, which refills at about half the quota up to half of
// its window; an abandoned call counts as in flight for its grace; the limit never exceeds the quota.
#pragma once

#include <deque>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Admits dependency calls: of a service shared by all servers by budget and limit, else by limit alone.
class DependencyLimiter {
public:
    explicit DependencyLimiter(const Settings& settings);

    /// Refills the budget up to `now`, which never runs backwards.
    void advance(Timestamp now);
    /// Whether another call may start.
    bool allows_call() const;
    /// How long a call that starts now may take.
    Duration call_timeout() const;
    void start_call() { ++outstanding_calls_; }
    /// The call is over; abandoned, it may stay with the dependency for the grace.
    void finish_call(Timestamp now, bool is_abandoned);
    /// Takes in a call's outcome and its seconds.
    void learn(bool succeeded, double seconds);
    /// Sets the mean duration of a call, in seconds, as if learned from no call.
    void restore(double mean_call_seconds) { mean_call_seconds_ = mean_call_seconds; }
    /// Seconds until the calls that wait ahead, and those that runs ahead will yet make, are through.
    double queue_delay(double waiting_calls, double expected_calls) const;
    /// Mean duration of a call, in seconds.
    double mean_call_seconds() const { return mean_call_seconds_; }
    /// Calls behind the mean.
    double call_count() const { return call_count_; }

private:
    /// Call seconds a second.
    double refill_rate() const;
    double calls_in_flight() const;
    void update_limit(bool succeeded);

    bool is_shared_;
    double base_refill_;  // call seconds a second
    double max_budget_;  // call seconds
    double max_limit_;  // calls
    double budget_;  // call seconds, negative when overdrawn
    double limit_;  // calls
    double outstanding_calls_ = 0.0;
    double mean_call_seconds_ = 0.0;
    double fastest_call_seconds_ = 0.0;
    double call_count_ = 0.0;
    bool has_fractional_quota_;  // under one call
    Duration abandoned_call_grace_;
    Timestamp advanced_at_{0};
    std::deque<Timestamp> abandoned_until_;
};

}  // namespace cressledge::policy::aces
