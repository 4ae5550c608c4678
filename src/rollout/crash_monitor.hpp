/// Whether the processes with the change crash more often than the others. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rollout/process_observation.hpp"
#include "rollout/rollout_state.hpp"

namespace cressledge::rollout {

/// Whether the updated processes crash more often than the others.
enum class CrashAssessment : std::uint8_t {
    /// No more crashes than chance explains.
    none,
    /// Perhaps more; whether chance explains them is to be seen.
    suspect,
    /// More than chance explains.
    excess,
};

/// Compares crashes of the updated processes in this bake with those of the others over the whole rollout, by the time
/// for which each were observed: of so many crashes in all, as many or more would fall on the updated ones by chance
/// (the exact test of two Poisson rates). What is unlikely, and not more, is waited for: for half as long again as the
/// crash took to come.
class CrashMonitor {
public:
    /// To be called once before the first observation.
    void start(Timestamp now) { last_observed_at_ = now; }

    /// Forgets the crashes of the last bake.
    void start_bake();

    /// Takes in the crash counts of one observation of the fleet of `state`.
    void observe(Timestamp now, const RolloutState& state, const Observations& observations);

    /// The assessment of the bake that began at `bake_started_at`.
    CrashAssessment assess(Timestamp now, Timestamp bake_started_at,
                           const std::vector<RolloutTarget>& targets);

private:
    /// A process as it was first seen in this bake.
    struct BakeStart {
        Timestamp seen_at{0};
        std::uint64_t crash_count = 0;
    };
    struct CanaryCrashes {
        double crashes = 0.0;
        double exposure_seconds = 0.0;
    };

    CanaryCrashes count_canary_crashes(Timestamp now, const std::vector<RolloutTarget>& targets) const;
    double excess_p_value(const CanaryCrashes& canary) const;

    Timestamp last_observed_at_{0};
    std::map<std::string, std::uint64_t> crash_counts_;
    double baseline_exposure_seconds_ = 0.0;
    double baseline_crashes_ = 0.0;
    std::map<std::string, BakeStart> bake_starts_;
    double known_canary_crashes_ = 0.0;
    Timestamp last_canary_crash_at_{0};
    Timestamp suspect_until_{0};
};

}  // namespace cressledge::rollout
