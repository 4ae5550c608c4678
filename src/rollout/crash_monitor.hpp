/// Detects whether the processes with the change crash more often than the others. No I/O.
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
    /// No crashes of the canary, or no more than chance explains.
    none,
    /// Possibly more than chance explains; needs longer observation.
    suspect,
    /// Significantly more than chance explains.
    excess,
};

/// Compares the crash rate of the updated processes in the current bake with that of the others over the whole
/// rollout, by the exact test of two Poisson rates: given the total number of crashes and the observation time of
/// both groups, how likely are this many crashes among the updated processes. A crash that is unlikely but not
/// significant is suspect, for 1.5 times as long as it took to occur.
class CrashMonitor {
public:
    /// Sets the time from which exposure counts; must be called once, before the first `observe`.
    void start(Timestamp now) { last_observed_at_ = now; }

    /// Starts a new bake: resets the crash counts of the previous one.
    void start_bake();

    /// Records the crash counts of one observation of the fleet of `state`.
    void observe(Timestamp now, const RolloutState& state, const Observations& observations);

    /// Assesses the bake that began at `bake_started_at`.
    CrashAssessment assess(Timestamp now, Timestamp bake_started_at,
                           const std::vector<RolloutTarget>& targets);

private:
    /// First observation of a process in this bake.
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
    double assessed_canary_crashes_ = 0.0;
    Timestamp last_canary_crash_at_{0};
    Timestamp suspect_until_{0};
};

}  // namespace cressledge::rollout
