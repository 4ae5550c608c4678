/// Metrics of the request manager under the names that the admin address gives them. Owns nothing.
#pragma once

#include "base/metric.hpp"
#include "request/request_manager.hpp"

namespace cressledge::admin {

/// Appends `node.responses.CLASS.X`, responses and runs by class, and `node.active`, the requests without a response.
void collect_class_metrics(const request::RequestManager& server, base::Metrics& out);

/// Appends `node.responses.CLASS.late`, and `node.took.CLASS.US` for each bucket of latencies that is not empty, US being
/// its upper bound in microseconds (base::LatencyHistogram).
void collect_latency_metrics(const request::RequestManager& server, base::Metrics& out);

}  // namespace cressledge::admin
