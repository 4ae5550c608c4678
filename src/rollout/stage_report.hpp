/// What became of one stage of a rollout, for the report.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "rollout/canary_analysis.hpp"

namespace cressledge::rollout {

/// One stage of a rollout: its groups of processes, its times and its verdict.
struct StageReport {
    std::size_t stage_index = 0;
    /// Processes with the change, and without it, once the stage is updated.
    std::size_t canary_count = 0;
    std::size_t baseline_count = 0;
    Timestamp started_at{0};
    Timestamp bake_started_at{0};
    /// 0 while the stage lasts.
    Timestamp ended_at{0};
    CanaryVerdict verdict = CanaryVerdict::inconclusive;
    std::string reason;
    /// Why the verdict had to wait, each reason once.
    std::vector<std::string> wait_reasons;
    /// The last analysis.
    CanaryAnalysis analysis;

    /// Whether the stage passed, failed or was cut short.
    bool has_ended() const { return ended_at != Timestamp(0); }
};

}  // namespace cressledge::rollout
