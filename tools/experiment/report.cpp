#include "experiment/report.hpp"

#include <cmath>

namespace cressledge::experiment {

using nlohmann::ordered_json;

double rounded(double value) {
    return std::round(value * 1e4) / 1e4;
}

ordered_json to_json(const fake_upstream::LoadImbalance& imbalance) {
    ordered_json json = {{"worst_p99", rounded(imbalance.peak_to_mean_p99)},
                         {"worst_max", rounded(imbalance.peak_to_mean_max)},
                         {"worst_mean", rounded(imbalance.peak_to_mean_average)},
                         {"variation", rounded(imbalance.variation)},
                         {"idle", imbalance.idle_fraction},
                         {"looks", imbalance.samples},
                         {"longest_over_2_s", rounded(imbalance.longest_time_above_s(2.0))}};
    ordered_json intervals = ordered_json::array();
    for (const auto& interval : imbalance.intervals) {
        std::vector<double> utilizations;
        for (const float utilization : interval.utilizations)
            utilizations.push_back(std::round(utilization * 1e3) / 1e3);
        intervals.push_back({{"at_s", rounded(interval.start_s)},
                             {"worst", rounded(interval.peak_to_mean)},
                             {"mean", rounded(interval.mean_utilization)},
                             {"shares", utilizations}});
    }
    json["stretches"] = std::move(intervals);
    return json;
}

ordered_json report_header(const Experiment& experiment, const char* how) {
    std::vector<unsigned> slots;
    for (std::size_t i = 0; i < experiment.servers; ++i)
        slots.push_back(experiment.slots(i));
    return {{"experiment", experiment.name},
            {"how", how},
            {"seed", experiment.seed},
            {"processes", experiment.processes},
            {"servers", experiment.servers},
            {"places", slots},
            {"policy", experiment.policy},
            {"load", experiment.load},
            {"rate_s", std::round(experiment.request_rate_s())},
            {"arrivals", experiment.bursty ? "bursty" : "poisson"},
            {"seconds", experiment.seconds}};
}

ordered_json report_figures(const ordered_json& imbalance, const RequestFigures& requests) {
    return {{"worst_p99", imbalance["worst_p99"]},
            {"worst_mean", imbalance["worst_mean"]},
            {"variation", imbalance["variation"]},
            {"idle", imbalance["idle"]},
            {"longest_over_2_s", imbalance["longest_over_2_s"]},
            {"p50_ms", rounded(requests.p50_ms)},
            {"p95_ms", rounded(requests.p95_ms)},
            {"p99_ms", rounded(requests.p99_ms)},
            {"p999_ms", rounded(requests.p999_ms)},
            {"errors", requests.error_rate}};
}

}  // namespace cressledge::experiment
