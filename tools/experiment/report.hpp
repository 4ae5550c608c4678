/// The sections of a report that are common to emulated experiments and experiments with real processes. The keys are
/// read by bench/plot_report.py and by `cressledge_lab compare`.
#pragma once

#include <nlohmann/json.hpp>

#include "experiment/experiment.hpp"

namespace cressledge::experiment {

/// Latency quantiles of successful requests, and the fraction of all requests that failed.
struct RequestFigures {
    double p50_ms = 0.0, p95_ms = 0.0, p99_ms = 0.0, p999_ms = 0.0;
    double error_rate = 0.0;
};

/// Rounds to four decimals, the precision of numbers in reports.
double rounded(double value);

/// The section `evenness`.
nlohmann::ordered_json to_json(const fake_upstream::LoadImbalance& imbalance);

/// The first fields of a report: the experiment, and `how` it was run.
nlohmann::ordered_json report_header(const Experiment& experiment, const char* how);

/// The section `figures`. `imbalance`: the result of to_json().
nlohmann::ordered_json report_figures(const nlohmann::ordered_json& imbalance,
                                      const RequestFigures& requests);

}  // namespace cressledge::experiment
