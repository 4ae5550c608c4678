// Limits the number of concurrent runs. README.md explains each tuned value.
//
// Invariant: after each update the limit lies between the number of cores and the given maximum, or equals
// the maximum if that is less than the number of cores.
#pragma once

namespace cressledge::policy::aces {

/// A limit on running requests that grows while cores are idle and shrinks as contention makes runs more
/// expensive.
class ConcurrencyLimiter {
public:
    explicit ConcurrencyLimiter(int core_count) : min_limit_(core_count), limit_(core_count) {}

    /// Moves the limit towards the saved one by `confidence` (0 to 1, on a logarithmic scale).
    void restore(double saved_limit, double confidence);
    /// Raises the limit if `can_grow` (cores idle while work waits), else lowers it according to
    /// `relative_speed` (ratio, at most 1). The limit never exceeds `max_limit` runs.
    void update(bool can_grow, double relative_speed, double max_limit);
    /// Maximum number of concurrent runs.
    double limit() const { return limit_; }

private:
    double min_limit_;
    double limit_;
    bool is_restored_ = false;  // restored, and no request has waited since
};

}  // namespace cressledge::policy::aces
