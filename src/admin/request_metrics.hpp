/// Converts the request manager's counts to the metrics of the admin address.
#pragma once

#include "base/metric.hpp"
#include "request/request_manager.hpp"

namespace cressledge::admin {

/// Appends `node.responses.CLASS.*`, the responses and runs by request class, and `node.active`, the number of
/// unanswered requests.
void collect_class_metrics(const request::RequestManager& request_manager, base::Metrics& out);

/// Appends `node.responses.CLASS.late`, and `node.took.CLASS.US` for each non-empty latency bucket, where US is its
/// upper bound in microseconds (base::LatencyHistogram).
void collect_latency_metrics(const request::RequestManager& request_manager, base::Metrics& out);

}  // namespace cressledge::admin
