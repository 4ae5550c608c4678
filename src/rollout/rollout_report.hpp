/// The JSON form of a rollout's report (`cressledge roll --report`). Only this module writes its keys and values.
#pragma once

#include <nlohmann/json.hpp>

#include "rollout/stage_report.hpp"
#include "rollout/traffic_monitor.hpp"

namespace cressledge::rollout {

/// Returns the report of one stage: its groups, times in Unix microseconds, verdict and last analysis.
nlohmann::ordered_json to_json(const StageReport& report);

/// Returns the metrics of both groups in one interval between observations.
nlohmann::ordered_json to_json(const TrafficSample& sample);

}  // namespace cressledge::rollout
