/// The result of one stage of a rollout, for the report.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "rollout/canary_analysis.hpp"

namespace cressledge::rollout {

/// One stage of a rollout: its groups of processes, its times and its verdict.
struct StageReport {
    std::size_t stage_index = 0;
    /// Number of processes with and without the change after the stage's updates.
    std::size_t canary_count = 0;
    std::size_t baseline_count = 0;
    Timestamp started_at{0};
    Timestamp bake_started_at{0};
    /// 0 until the stage has ended.
    Timestamp ended_at{0};
    CanaryVerdict verdict = CanaryVerdict::inconclusive;
    std::string reason;
    /// Reasons why the verdict was delayed, without duplicates.
    std::vector<std::string> wait_reasons;
    /// The last analysis.
    CanaryAnalysis analysis;

    /// Whether the stage has passed, failed or been aborted.
    bool has_ended() const { return ended_at != Timestamp(0); }
};

}  // namespace cressledge::rollout
