/// The JSON of a rollout's report (`cressledge roll --report`); its words are written here alone.
#pragma once

#include <nlohmann/json.hpp>

#include "rollout/stage_report.hpp"
#include "rollout/traffic_monitor.hpp"

namespace cressledge::rollout {

/// One stage: its groups, times in Unix microseconds, verdict and last analysis.
nlohmann::ordered_json to_json(const StageReport& report);

/// One interval between observations: the metrics of both groups.
nlohmann::ordered_json to_json(const TrafficSample& sample);

}  // namespace cressledge::rollout
