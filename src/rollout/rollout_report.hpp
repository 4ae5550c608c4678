/// The JSON of a rollout's report (`cressledge roll --report`); its words are written here alone.
#pragma once

#include <nlohmann/json.hpp>

#include "rollout/stage_report.hpp"
#include "rollout/traffic_monitor.hpp"

namespace cressledge::rollout {

nlohmann::ordered_json to_json(const StageReport& report);

nlohmann::ordered_json to_json(const TrafficSample& sample);

}  // namespace cressledge::rollout
