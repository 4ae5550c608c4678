// Limits the dependency calls in flight to a number that the dependency can handle. README.md explains each
// tuned value.
//
// Invariants: one limiter serves all controllers of a server; calls consume a budget of call seconds, which
// refills at about half the quota, up to half of what the quota allows over its window; an abandoned call
// counts as in flight for its grace; the limit never exceeds the quota.
#pragma once

#include <deque>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Admits dependency calls. Calls to a shared service are bounded by a budget and a limit, others by a limit
/// only.
class DependencyLimiter {
public:
    explicit DependencyLimiter(const Settings& settings);

    /// Takes the quota of new settings. Calls in flight and call seconds already consumed count against it.
    void reconfigure(const Settings& settings);
    /// Refills the budget up to `now`, which must not decrease.
    void advance(Timestamp now);
    /// Whether another call may start.
    bool allows_call() const;
    /// Timeout of a call that starts now.
    Duration call_timeout() const;
    /// Counts a call as started.
    void start_call() { ++outstanding_calls_; }
    /// Counts a call as finished. An abandoned call counts as in flight for the grace.
    void finish_call(Timestamp now, bool is_abandoned);
    /// Learns from the outcome and the duration, in seconds, of a call.
    void learn(bool succeeded, double seconds);
    /// Sets the mean duration of a call, in seconds, unless calls were measured. The count of calls stays 0,
    /// so new calls replace it quickly.
    void restore(double mean_call_seconds);
    /// Seconds until the calls waiting ahead, and those that runs ahead are expected to make, can be issued.
    double queue_delay(double waiting_calls, double expected_calls) const;
    /// Mean duration of a call, in seconds.
    double mean_call_seconds() const { return mean_call_seconds_; }
    /// Number of calls in the mean.
    double call_count() const { return call_count_; }

private:
    /// Rate in call seconds per second.
    double refill_rate() const;
    double calls_in_flight() const;
    void update_limit(bool succeeded);
    void set_quota(const Settings& settings);

    bool is_shared_ = false;
    double base_refill_ = 0.0;  // call seconds per second
    double max_budget_ = 0.0;  // call seconds
    double max_limit_ = 1.0;  // calls
    double budget_ = 0.0;  // call seconds; negative if overdrawn
    double limit_ = 1.0;  // calls
    double outstanding_calls_ = 0.0;
    double mean_call_seconds_ = 0.0;
    double fastest_call_seconds_ = 0.0;
    double call_count_ = 0.0;
    bool has_fractional_quota_ = false;  // less than one call in flight
    Duration abandoned_call_grace_{0};
    Timestamp advanced_at_{0};
    std::deque<Timestamp> abandoned_until_;
};

}  // namespace cressledge::policy::aces
