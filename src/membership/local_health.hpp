/// Lifeguard's local health: a process that may itself be degraded probes less often and allows more time for answers.
#pragma once

namespace cressledge::membership {

/// Local health multiplier (Dadgar, Phillips, Currey: "Lifeguard", 2017, section 4.1).
class LocalHealth {
public:
    /// Records a sign of good local health, such as an answered probe.
    void improve() {
        if (score_ > 0)
            --score_;
    }

    /// Records a sign of a local fault: a missed nack, a refutation of a claim about this process, or a stall.
    void degrade() {
        if (score_ < max_score)
            ++score_;
    }

    /// Returns the factor by which the probe period is extended, from 1 to 5.
    int multiplier() const { return 1 + score_; }

private:
    static constexpr int max_score = 4;
    int score_ = 0;
};

}  // namespace cressledge::membership
