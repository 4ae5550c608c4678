/// Canary analysis of synthetic metrics, and the parsing of metrics.
#include "rollout/canary_analysis.hpp"

#include <vector>

#include "rollout_fixture.hpp"

namespace {

using namespace cressledge::testing;
using rollout::analyze_canary, rollout::CanaryVerdict, rollout::difference, rollout::MetricsByClass,
    rollout::parse_metrics, rollout::ProcessMetrics, rollout::Tolerances;

}  // namespace

TEST_CASE(
    "canary analysis: a class is worse beyond its tolerance, chance and the variation between processes, "
    "otherwise it passes or is inconclusive") {
    const Tolerances tolerances;
    const auto process = [](const MetricsByClass& window, const MetricsByClass& prior = {}) {
        return ProcessMetrics{window, prior};
    };
    const auto baseline = std::vector<ProcessMetrics>(10, process(metrics(1000, 2, 5)));
    CHECK(analyze_canary({process(metrics(1000, 2, 5))}, baseline, tolerances).verdict ==
          CanaryVerdict::pass);
    CHECK(analyze_canary({process(metrics(1000, 22, 5))}, baseline, tolerances).verdict ==
          CanaryVerdict::fail);
    CHECK(analyze_canary({process(metrics(1000, 22, 5))}, baseline, tolerances)
              .reason.rfind("errors of trail-sheet: changed 0.0220, unchanged 0.0020", 0) == 0);
    CHECK(analyze_canary({process(metrics(1000, 2, 60))}, baseline, tolerances).verdict ==
          CanaryVerdict::fail);
    // All responses are slower.
    CHECK(analyze_canary({process(metrics(1000, 2, 5, 44))}, baseline, tolerances).verdict ==
          CanaryVerdict::fail);
    // A few responses are much slower.
    CHECK(analyze_canary({process(metrics(1000, 2, 5, 40, 0.04))}, baseline, tolerances).verdict ==
          CanaryVerdict::fail);
    // Better than the baseline.
    CHECK(analyze_canary({process(metrics(1000, 0, 0, 36))}, baseline, tolerances).verdict ==
          CanaryVerdict::pass);
    CHECK(analyze_canary({process(metrics(100, 50, 0))}, baseline, tolerances).verdict ==
          CanaryVerdict::inconclusive);
    CHECK(analyze_canary({process(metrics(1000, 22, 5))}, {baseline[0], baseline[0]}, tolerances).verdict ==
          CanaryVerdict::inconclusive);
    // The variation between baseline processes explains the difference.
    std::vector<ProcessMetrics> varying_baseline;
    for (int i = 0; i < 10; ++i)
        varying_baseline.push_back(process(metrics(1000, 4 + 6 * i, 5, 40 + i % 5)));
    CHECK(analyze_canary({process(metrics(1000, 52, 5, 43))}, varying_baseline, tolerances).verdict ==
          CanaryVerdict::pass);
    // A process with as many errors before its change is not worse; one with fewer errors before is.
    const auto process_with_equal_prior = [&process](double errors) {
        return process(metrics(1000, errors, 5), metrics(1000, errors, 5));
    };
    std::vector<ProcessMetrics> baseline_with_prior;
    for (int i = 0; i < 10; ++i)
        baseline_with_prior.push_back(process_with_equal_prior(2 + i));
    CHECK(
        analyze_canary({process(metrics(1000, 40, 5), metrics(1000, 40, 5))}, baseline_with_prior, tolerances)
            .verdict != CanaryVerdict::fail);
    CHECK(
        analyze_canary({process(metrics(1000, 40, 5), metrics(1000, 4, 5))}, baseline_with_prior, tolerances)
            .verdict == CanaryVerdict::fail);
    CHECK(analyze_canary({process(metrics(200, 2, 1))}, baseline, tolerances).verdict == CanaryVerdict::pass);
    MetricsByClass with_idle_class = metrics(1000, 2, 5);
    // A class without requests.
    with_idle_class["map-order"] = {};
    CHECK(analyze_canary({process(with_idle_class)}, baseline, tolerances).verdict == CanaryVerdict::pass);
}

TEST_CASE("class metrics: parsed from GET /v1/metrics, and a restart gives no difference") {
    const auto parsed = parse_metrics(
        "node.responses.map-order.ok=5\nnode.responses.map-order.errors=-1\nnode.took.map-order.1189=4\n"
        "node.took.map-order.77=4\nnode.responses.=3\nnode.active=3\nnode.responses.x.late=1e99\nnode."
        "responses.x.shed=2x\ngarbage");
    CHECK(parsed.at("map-order").ok == 5.0);
    CHECK(parsed.at("map-order").errors == 0.0);
    CHECK(parsed.at("map-order").latency_counts[1] == 4.0);
    CHECK((parsed.count("x") == 0 || parsed.at("x").late == 0.0));
    CHECK(difference(metrics(10, 1, 1), metrics(30, 2, 1))->at("trail-sheet").total() == 20.0);
    CHECK_FALSE(difference(metrics(30, 2, 1), metrics(10, 1, 1)).has_value());
}
