// Bounds on what is admitted, run and called. README.md has the reason for each tuned value.
#pragma once

#include <deque>

#include "policy/run_queue.hpp"

namespace cressledge::policy::aces {

/// Quanta that each band may still have admitted in this period.
struct QuantumBudget {
    static constexpr double max_reserved = 0.9;
    explicit QuantumBudget(std::size_t n) : predictors(n), charged(n, 0.0), carried_over(n, 0.0) {}
    void open_period(double quanta, const RunQueue& queue) {
        period_quanta = quanta;
        for (std::size_t b = 0; b < charged.size(); ++b) {
            charged[b] = 0.0;
            carried_over[b] = queue.quanta_at_or_above(b);
        }
    }
    /// C(kT) less what was queued at this band or above, what higher bands will want, and what was charged.
    double remaining(std::size_t band) const {
        double above = 0.0;
        for (std::size_t b = band + 1; b < charged.size(); ++b)
            above += max(predictors[b].predicted(), charged[b]);
        return period_quanta - carried_over[band] - min(above, max_reserved * period_quanta) - charged[band];
    }
    double demand() const {
        double total = 0.0;
        for (const DemandPredictor& predictor : predictors)
            total += predictor.current_quanta;
        return total;
    }

    std::vector<DemandPredictor> predictors;
    std::vector<double> charged, carried_over;
    double period_quanta = 0.0;
};

/// How many requests may be on the cores when another is started.
struct ConcurrencyLimiter {
    static constexpr double max_restored_ratio = 2.0, growth = 0.2, speed_gain = 0.25, decay = 0.05;
    explicit ConcurrencyLimiter(int cores) : min_limit(cores), limit(cores) {}
    void restore(double saved, double confidence) {
        const double ratio = std::pow(max(saved, min_limit) / min_limit, confidence);
        limit = clamp(min_limit * ratio, min_limit, max_restored_ratio * min_limit);
        restored = true;
    }
    /// Up while cores idle and work waits, else by `relative_speed`: crowding makes runs dearer.
    void update(bool can_grow, double relative_speed, double max_limit) {
        restored = restored && !can_grow;  // what nobody waits for is given back as fast as it is learned
        if (restored)
            limit = max(min_limit, limit - growth * limit);
        limit += can_grow ? max(1.0, growth * limit) : speed_gain * limit * (relative_speed - 1.0) - decay;
        limit = clamp(limit, min(min_limit, max_limit), max_limit);
    }

    double min_limit, limit;
    bool restored = false;
};

/// Dependency calls in flight, and how many the dependency takes well. Calls draw on call seconds, which come
/// back at half the quota and fill up to half of its window: a quota under one call is a part of the time.
struct DependencyLimiter {
    static constexpr double refill_share = 0.45, calls_per_core = 4.0, max_seconds = 1e6, min_quota = 1e-3;
    static constexpr double min_share = 0.25, warm_up = 10.0, base_drift = 1.001, slow_ratio = 3.0;
    struct Gains {
        double mean, growth_share, slow_factor, failed_factor;
    };
    static constexpr Gains whole{0.05, 0.0, 0.99, 0.9}, fractional{0.15, 0.1, 0.95, 0.8};
    explicit DependencyLimiter(const Settings& s)
        : shared_(s.dependency == Dependency::shared_service),
          base_refill_(refill_share * s.dependency_call_quota),
          max_budget_(base_refill_ * to_seconds(s.dependency_call_window)),
          max_limit_(shared_ ? max(min_quota, s.dependency_call_quota) : calls_per_core * s.cores),
          budget_(max_budget_),
          limit_(max_limit_),
          grace_(s.abandoned_call_grace) {}
    void advance(Timestamp now) {
        while (!abandoned_until_.empty() && abandoned_until_.front() <= now)
            abandoned_until_.pop_front();
        budget_ = min(max_budget_, budget_ + (refill_rate() - in_flight()) * to_seconds(now - advanced_at_));
        advanced_at_ = now;
    }
    bool allows_call() const {
        const double half_budget = max(0.5 * max_budget_ - to_seconds(grace_), 1e-3);
        const double required = min((fractional_ ? 2.0 : 1.0) * call_seconds, half_budget);
        return in_flight() + 1.0 <= max(1.0, limit_) && (!shared_ || to_seconds(call_timeout()) > required);
    }
    Duration call_timeout() const {
        if (!shared_)
            return Duration::max();
        return max(Duration(0), from_seconds(min(max_seconds, budget_ / (outstanding_ + 1.0))) - grace_);
    }
    void start_call() { ++outstanding_; }
    void finish_call(Timestamp now, bool abandoned) {
        --outstanding_;
        if (abandoned)
            abandoned_until_.push_back(now + grace_);
    }
    void learn(bool succeeded, double seconds) {
        const Gains& gains = fractional_ ? fractional : whole;
        if (!succeeded)
            seconds = max(call_seconds, seconds + to_seconds(grace_));
        blend(call_seconds, seconds, max(gains.mean, 1.0 / ++call_count));
        fastest_ = call_count < warm_up ? call_seconds : min(call_seconds, fastest_ * base_drift);
        if (succeeded && call_seconds <= slow_ratio * fastest_) {
            limit_ = min(max_limit_, limit_ + (fractional_ ? gains.growth_share * max_limit_ : 0.5 / limit_));
        } else {  // what is slow for others' sake gets no faster for want of calls
            const double min_limit = fractional_ ? 0.0 : max(1.0, min_share * max_limit_);
            limit_ = max(min_limit, limit_ * (succeeded ? gains.slow_factor : gains.failed_factor));
        }
    }
    /// Seconds until the calls that wait ahead, and those that runs ahead will yet make, are through.
    double queue_delay(double waiting, double expected) const {
        const double by_limit = waiting * call_seconds / max(1.0, limit_);
        const double missing = (expected + 1.0) * call_seconds + to_seconds(grace_) - budget_;
        return shared_ ? max(by_limit, missing / max(1e-3, refill_rate())) : by_limit;
    }

    double call_seconds = 0.0, call_count = 0.0;  // mean of the calls counted

private:
    double refill_rate() const { return base_refill_ * max(min_share, limit_ / max_limit_); }
    double in_flight() const { return outstanding_ + static_cast<double>(abandoned_until_.size()); }

    bool shared_;
    double base_refill_, max_budget_, max_limit_, budget_, limit_, outstanding_ = 0.0, fastest_ = 0.0;
    bool fractional_ = shared_ && max_limit_ < 1.0;  // a quota under one call
    Duration grace_;
    Timestamp advanced_at_{0};
    std::deque<Timestamp> abandoned_until_;
};

/// This server's part of a tenant's quota, in requests per second.
struct TenantQuota {
    static constexpr double rate_gain = 0.2, max_credit = 2.0;
    /// Counts first attempts up to the quota, all attempts beyond it, where as many as are over are denied.
    bool try_acquire(double stretch, bool is_retry) {
        attempts += 1.0;
        first_attempts += is_retry ? 0.0 : 1.0;
        if (first_attempt_rate <= stretch * per_second)
            return true;
        credit = min(credit + min(1.0, stretch * per_second / max(attempt_rate, 1e-9)), max_credit);
        if (credit < 1.0)
            return false;
        credit -= 1.0;
        return true;
    }
    void close_period(double seconds) {
        blend(attempt_rate, attempts / seconds, rate_gain);
        blend(first_attempt_rate, first_attempts / seconds, rate_gain);
        attempts = first_attempts = 0.0;
    }

    double per_second = 0.0, credit = 0.0;
    double attempt_rate = 0.0, first_attempt_rate = 0.0, attempts = 0.0, first_attempts = 0.0;
};

}  // namespace cressledge::policy::aces
