/// A plan, request metrics and a simulated fleet for tests of the rollout state machine.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rollout/rollout_state_machine.hpp"
#include "support.hpp"

namespace cressledge::testing {

/// Returns the time `value` seconds after the beginning of a test.
inline Timestamp seconds(double value) {
    return Timestamp(static_cast<std::int64_t>(value * 1e6));
}

/// Returns metrics of one process for one class, with latencies around `median_bucket` and a fraction
/// `slow_fraction` far above.
inline rollout::MetricsByClass metrics(double requests, double errors, double shed,
                                       std::size_t median_bucket = 40, double slow_fraction = 0.0) {
    rollout::MetricsByClass by_class;
    rollout::ClassMetrics& class_metrics = by_class["trail-sheet"];
    class_metrics.errors = errors;
    class_metrics.shed = shed;
    class_metrics.ok = requests - errors - shed;
    const std::vector<std::pair<std::size_t, double>> bucket_fractions{{median_bucket - 4, 0.25},
                                                                       {median_bucket, 0.5},
                                                                       {median_bucket + 4, 0.24},
                                                                       {median_bucket + 8, 0.01}};
    for (const auto& [bucket, fraction] : bucket_fractions)
        class_metrics.latency_counts[bucket] += class_metrics.ok * fraction * (1.0 - slow_fraction);
    class_metrics.latency_counts[60] += class_metrics.ok * slow_fraction;
    return by_class;
}

inline rollout::RolloutPlan test_plan(std::vector<rollout::RolloutStage> stages = {
                                          {0.0, 1}, {0.5, 0}, {1.0, 0}}) {
    rollout::RolloutPlan plan;
    plan.name = "r";
    plan.target_spec = {"new", ""};
    plan.stages = std::move(stages);
    plan.bake_time = Duration(10'000'000);
    plan.max_inconclusive_time = Duration(30'000'000);
    return plan;
}

/// A fleet with constant request rates whose processes apply updates immediately. It runs one rollout step per
/// simulated second.
struct FakeFleet {
    explicit FakeFleet(std::size_t process_count, const rollout::RolloutPlan& plan = test_plan()) {
        std::vector<rollout::ProcessAssignment> processes;
        for (std::size_t i = 0; i < process_count; ++i)
            specs["p" + std::to_string(i)] = {"old", ""};
        for (const auto& [id, spec] : specs)
            processes.push_back({id, spec});
        state_machine.emplace(plan, processes);
    }

    rollout::Observations observations() {
        rollout::Observations observed;
        for (const auto& [id, spec] : specs) {
            rollout::ProcessObservation& process = observed[id];
            if (unreachable.contains(id))
                continue;
            process.is_reachable = true;
            process.active_spec = spec;
            process.serving_generation = static_cast<std::uint64_t>(1 + restart_counts[id]);
            process.crash_count = static_cast<std::uint64_t>(crash_counts[id]);
            if (rejecting.contains(id)) {
                process.change_status = supervisor::ChangeStatus::failed;
                process.change_error = "e.yaml:3: no such field";
            }
            process.metrics = metrics(now_s * 100.0, now_s * error_rates[spec.program], 0.0);
        }
        return observed;
    }

    void step() {
        now_s += 1.0;
        for (;;) {
            const rollout::RolloutActions actions = state_machine->step(seconds(now_s), observations());
            log_lines.insert(log_lines.end(), actions.log_lines.begin(), actions.log_lines.end());
            if (actions.must_save_state) {
                // No updates may be sent before the state is durable.
                CHECK(actions.spec_updates.empty());
                ++save_count;
                continue;
            }
            for (const rollout::ProcessAssignment& update : actions.spec_updates) {
                if (!rejecting.contains(update.process_id) || update.spec.program == "old")
                    specs[update.process_id] = update.spec;
            }
            return;
        }
    }

    bool step_until(rollout::Phase phase, int max_steps = 200) {
        while (state_machine->state().phase != phase && max_steps-- > 0)
            step();
        return state_machine->state().phase == phase;
    }

    std::size_t updated_count() const {
        return static_cast<std::size_t>(std::count_if(
            specs.begin(), specs.end(), [](const auto& entry) { return entry.second.program == "new"; }));
    }

    std::map<std::string, supervisor::ProcessSpec> specs;
    /// Errors per second, by program.
    std::map<std::string, double> error_rates;
    /// Number of crashes, by process.
    std::map<std::string, double> crash_counts;
    /// Number of restarts, by process; the generation is one more.
    std::map<std::string, double> restart_counts;
    std::set<std::string> unreachable;
    /// Processes that reject the update.
    std::set<std::string> rejecting;
    double now_s = 0.0;
    std::optional<rollout::RolloutStateMachine> state_machine;
    int save_count = 0;
    std::vector<std::string> log_lines;
};

}  // namespace cressledge::testing
