/// What each process of a rollout has served: since the bake began, over its restarts; before its change; and from one
/// observation to the next, for the report. No I/O.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/canary_analysis.hpp"
#include "rollout/process_observation.hpp"
#include "rollout/rollout_state.hpp"

namespace cressledge::rollout {

/// What both groups of processes did between two observations, summed over all request classes.
struct TrafficSample {
    Timestamp taken_at{0};
    std::size_t stage_index = 0;
    Phase phase = Phase::observing;
    ClassMetrics canary;
    ClassMetrics baseline;
};

/// Metrics of the processes of a rollout, split by whether they have the change.
struct GroupedMetrics {
    std::vector<ProcessMetrics> canary;
    std::vector<ProcessMetrics> baseline;
};

/// Accumulates the request metrics of each process over restarts, which reset a process's own counters.
class TrafficMonitor {
public:
    /// Takes in one observation of the fleet of `state`.
    void observe(Timestamp now, const RolloutState& state, const Observations& observations);

    /// Counts what a process has done so far as what it did before its change.
    void add_to_prior(const std::string& process_id);

    /// Forgets what was counted since the last bake began.
    void start_bake();

    /// What each process of `targets` that was seen has done since the bake began, and before.
    GroupedMetrics metrics_of(const std::vector<RolloutTarget>& targets) const;

    /// When the metrics of a process were last read since the bake began.
    std::optional<Timestamp> last_seen_at(const std::string& process_id) const;

    /// What both groups did between observations, oldest first.
    const std::vector<TrafficSample>& samples() const { return samples_; }

private:
    /// Counters of one process since the bake began. A restarted process counts from zero again.
    struct MetricsAccumulator {
        std::optional<MetricsByClass> base_metrics;
        std::optional<MetricsByClass> last_metrics;
        MetricsByClass earlier_generations;
        supervisor::Generation generation = supervisor::no_generation;
        Timestamp last_seen_at{0};

        void add(Timestamp now, supervisor::Generation new_generation, const MetricsByClass& metrics);
        MetricsByClass total() const;
    };
    struct GenerationMetrics {
        supervisor::Generation generation = supervisor::no_generation;
        MetricsByClass metrics;
    };

    /// What the process did since its last observation; none where it was restarted meanwhile.
    std::optional<MetricsByClass> difference_to_last(const std::string& process_id,
                                                     const ProcessObservation& observation);
    void add_sample(const TrafficSample& sample);

    std::map<std::string, MetricsAccumulator> accumulators_;
    std::map<std::string, MetricsByClass> prior_metrics_;
    std::map<std::string, GenerationMetrics> last_sampled_metrics_;
    std::vector<TrafficSample> samples_;
};

}  // namespace cressledge::rollout
