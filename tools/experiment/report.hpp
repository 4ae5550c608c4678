/// The parts of an experiment's report that runs with real processes and emulated ones have in common. The keys are read
/// by bench/plot_report.py and by `cressledge_lab compare`.
#pragma once

#include <nlohmann/json.hpp>

#include "experiment/experiment.hpp"

namespace cressledge::experiment {

/// Latencies of successful requests, and the fraction of all that failed.
struct RequestFigures {
    double p50_ms = 0.0, p95_ms = 0.0, p99_ms = 0.0, p999_ms = 0.0;
    double error_rate = 0.0;
};

/// Rounds to four decimals, as reports hold numbers.
double rounded(double value);

nlohmann::ordered_json to_json(const fake_upstream::LoadImbalance& imbalance);

/// The beginning of a report: the experiment and `how` it was run.
nlohmann::ordered_json report_header(const Experiment& experiment, const char* how);

/// The section `figures`. `imbalance`: as to_json() gives it.
nlohmann::ordered_json report_figures(const nlohmann::ordered_json& imbalance,
                                      const RequestFigures& requests);

}  // namespace cressledge::experiment
