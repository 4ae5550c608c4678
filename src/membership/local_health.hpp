/// Lifeguard's local health: a process that has reason to doubt itself gives others more time.
#pragma once

namespace cressledge::membership {

/// Local health multiplier (Dadgar, Phillips, Currey: "Lifeguard", 2017, section 4.1).
class LocalHealth {
public:
    /// A probe was answered.
    void improve() {
        if (score_ > 0)
            --score_;
    }

    /// A sign that the fault is this process's own: a missed nack, a refutation, a stall.
    void degrade() {
        if (score_ < max_score)
            ++score_;
    }

    /// Factor by which the probe period is longer, 1 to 5.
    int multiplier() const { return 1 + score_; }

private:
    static constexpr int max_score = 4;
    int score_ = 0;
};

}  // namespace cressledge::membership
