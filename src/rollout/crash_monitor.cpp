#include "rollout/crash_monitor.hpp"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>

namespace cressledge::rollout {
namespace {

/// p-value below which the crashes of the canary are an excess.
constexpr double excess_significance_level = 0.0003;
/// p-value below which a new crash of the canary is suspect.
constexpr double max_suspect_p_value = 0.2;
constexpr double min_excess_crashes = 2.0;
/// Keeps the exposure fraction above 0 and avoids a division by 0.
constexpr double min_exposure = 1e-9;

double to_seconds(Duration duration) {
    return static_cast<double>(duration.count()) * 1e-6;
}

}  // namespace

void CrashMonitor::start_bake() {
    bake_starts_.clear();
    suspect_until_ = Timestamp(0);
    last_canary_crash_at_ = Timestamp(0);
    assessed_canary_crashes_ = 0.0;
}

void CrashMonitor::observe(Timestamp now, const RolloutState& state, const Observations& observations) {
    const double elapsed_seconds = to_seconds(now - last_observed_at_);
    last_observed_at_ = now;
    for (const RolloutTarget& target : state.targets) {
        const ProcessObservation* const observation = find_reachable(observations, target.id);
        if (observation == nullptr)
            continue;
        const std::uint64_t crash_count = observation->crash_count;
        if (!target.is_updated) {
            baseline_exposure_seconds_ += elapsed_seconds;
            const auto known = crash_counts_.find(target.id);
            if (known != crash_counts_.end() && crash_count > known->second)
                baseline_crashes_ += static_cast<double>(crash_count - known->second);
        }
        crash_counts_[target.id] = crash_count;
        bake_starts_.try_emplace(target.id, BakeStart{now, crash_count});
    }
}

CrashMonitor::CanaryCrashes CrashMonitor::count_canary_crashes(
    Timestamp now, const std::vector<RolloutTarget>& targets) const {
    CanaryCrashes canary;
    for (const RolloutTarget& target : targets) {
        if (!target.is_updated)
            continue;
        const auto start = bake_starts_.find(target.id);
        const auto count = crash_counts_.find(target.id);
        if (start == bake_starts_.end() || count == crash_counts_.end())
            continue;
        canary.exposure_seconds += to_seconds(now - start->second.seen_at);
        canary.crashes +=
            static_cast<double>(count->second - std::min(count->second, start->second.crash_count));
    }
    return canary;
}

double CrashMonitor::excess_p_value(const CanaryCrashes& canary) const {
    const double exposure = std::max(min_exposure, canary.exposure_seconds + baseline_exposure_seconds_);
    const double canary_exposure_fraction = std::clamp(canary.exposure_seconds / exposure, min_exposure, 1.0);
    const boost::math::binomial crashes_of_canary(canary.crashes + baseline_crashes_,
                                                  canary_exposure_fraction);
    return boost::math::cdf(boost::math::complement(crashes_of_canary, canary.crashes - 1.0));
}

CrashAssessment CrashMonitor::assess(Timestamp now, Timestamp bake_started_at,
                                     const std::vector<RolloutTarget>& targets) {
    const CanaryCrashes canary = count_canary_crashes(now, targets);
    if (canary.crashes < 1.0)
        return CrashAssessment::none;
    const double p_value = excess_p_value(canary);
    if (canary.crashes >= min_excess_crashes && p_value < excess_significance_level)
        return CrashAssessment::excess;
    if (canary.crashes > assessed_canary_crashes_) {
        const Duration time_to_crash = now - std::max(bake_started_at, last_canary_crash_at_);
        if (p_value < max_suspect_p_value)
            suspect_until_ = now + time_to_crash * 3 / 2;
        assessed_canary_crashes_ = canary.crashes;
        last_canary_crash_at_ = now;
    }
    return now < suspect_until_ ? CrashAssessment::suspect : CrashAssessment::none;
}

}  // namespace cressledge::rollout
