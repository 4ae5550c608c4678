/// Canary analysis of processes with made-up metrics, and how metrics are read.
#include "rollout/canary_analysis.hpp"

#include <vector>

#include "rollout_fixture.hpp"

namespace {

using namespace cressledge::testing;
using rollout::analyze_canary, rollout::CanaryVerdict, rollout::difference, rollout::MetricsByClass,
    rollout::parse_metrics, rollout::ProcessMetrics, rollout::Tolerances;

}  // namespace

TEST_CASE(
    "canary analysis: a class is worse beyond its tolerance, beyond chance and beyond how processes differ, "
    "else it passes or stays open") {
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
              .reason.rfind("errors of trail-sheet: 0.0220 against 0.0020", 0) == 0);
    CHECK(analyze_canary({process(metrics(1000, 2, 60))}, baseline, tolerances).verdict ==
          CanaryVerdict::fail);
    // All answers are slower.
    CHECK(analyze_canary({process(metrics(1000, 2, 5, 44))}, baseline, tolerances).verdict ==
          CanaryVerdict::fail);
    // A few answers are much slower.
    CHECK(analyze_canary({process(metrics(1000, 2, 5, 40, 0.04))}, baseline, tolerances).verdict ==
          CanaryVerdict::fail);
    // Better than the baseline.
    CHECK(analyze_canary({process(metrics(1000, 0, 0, 36))}, baseline, tolerances).verdict ==
          CanaryVerdict::pass);
    CHECK(analyze_canary({process(metrics(100, 50, 0))}, baseline, tolerances).verdict ==
          CanaryVerdict::inconclusive);
    CHECK(analyze_canary({process(metrics(1000, 22, 5))}, {baseline[0], baseline[0]}, tolerances).verdict ==
          CanaryVerdict::inconclusive);
    // Processes that differ as much as these explain it.
    std::vector<ProcessMetrics> uneven;
    for (int i = 0; i < 10; ++i)
        uneven.push_back(process(metrics(1000, 4 + 6 * i, 5, 40 + i % 5)));
    CHECK(analyze_canary({process(metrics(1000, 52, 5, 43))}, uneven, tolerances).verdict ==
          CanaryVerdict::pass);
    // A process that had as many errors before its change is not worse; one that had not is.
    const auto same_prior = [&process](double errors) {
        return process(metrics(1000, errors, 5), metrics(1000, errors, 5));
    };
    std::vector<ProcessMetrics> known;
    for (int i = 0; i < 10; ++i)
        known.push_back(same_prior(2 + i));
    CHECK(analyze_canary({process(metrics(1000, 40, 5), metrics(1000, 40, 5))}, known, tolerances).verdict !=
          CanaryVerdict::fail);
    CHECK(analyze_canary({process(metrics(1000, 40, 5), metrics(1000, 4, 5))}, known, tolerances).verdict ==
          CanaryVerdict::fail);
    CHECK(analyze_canary({process(metrics(200, 2, 1))}, baseline, tolerances).verdict == CanaryVerdict::pass);
    MetricsByClass idle = metrics(1000, 2, 5);
    // A class without requests.
    idle["map-order"] = {};
    CHECK(analyze_canary({process(idle)}, baseline, tolerances).verdict == CanaryVerdict::pass);
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
