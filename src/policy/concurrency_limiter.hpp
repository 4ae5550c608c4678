// How many requests may be on the cores when another is started. README.md has the reason for each value.
//
// Invariant: after each update the limit lies between the number of cores (or the bound given, where that
// is less) and the bound given.
#pragma once

namespace cressledge::policy::aces {

/// A limit on running requests that grows while cores idle and shrinks as crowding makes runs dearer.
class ConcurrencyLimiter {
public:
    explicit ConcurrencyLimiter(int core_count) : min_limit_(core_count), limit_(core_count) {}

    /// Moves the limit by `confidence` (0 to 1, on a logarithmic scale) to what was saved.
    void restore(double saved_limit, double confidence);
    /// Up while cores idle and work waits (`can_grow`), else by `relative_speed` (ratio, at most 1); never
    /// above `max_limit` runs.
    void update(bool can_grow, double relative_speed, double max_limit);
    /// Runs at a time.
    double limit() const { return limit_; }

private:
    double min_limit_;
    double limit_;
    bool is_restored_ = false;  // and nothing has waited for it since
};

}  // namespace cressledge::policy::aces
