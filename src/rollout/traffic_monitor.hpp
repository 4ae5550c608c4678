/// Tracks the request metrics of each process of a rollout: since the bake began, across its restarts; before its
/// change; and between observations, for the report. No I/O.
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

/// Request metrics of both groups of processes between two observations, summed over all request classes.
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

/// Accumulates the request metrics of each process across restarts, which reset the counters of the process.
class TrafficMonitor {
public:
    /// Records one observation of the fleet of `state`.
    void observe(Timestamp now, const RolloutState& state, const Observations& observations);

    /// Adds the metrics accumulated for a process so far to its metrics before the change.
    void add_to_prior(const std::string& process_id);

    /// Starts a new bake: resets the metrics accumulated since the previous one began.
    void start_bake();

    /// Returns the metrics of each observed process of `targets` since the bake began and before its change.
    GroupedMetrics metrics_of(const std::vector<RolloutTarget>& targets) const;

    /// Time of the last observation of a process's metrics in this bake; none if there was none.
    std::optional<Timestamp> last_seen_at(const std::string& process_id) const;

    /// Traffic of both groups between observations, oldest first.
    const std::vector<TrafficSample>& samples() const { return samples_; }

private:
    /// Accumulates the counters of one process since the bake began, over all its generations.
    struct MetricsAccumulator {
        /// Counters of the current generation at the first observation; 0 for a generation started since.
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

    /// Stores the observed metrics and returns their increase since the last observation; none if the process was
    /// restarted in between.
    std::optional<MetricsByClass> update_last_sampled_metrics(const std::string& process_id,
                                                              const ProcessObservation& observation);
    void add_sample(const TrafficSample& sample);

    std::map<std::string, MetricsAccumulator> accumulators_;
    std::map<std::string, MetricsByClass> prior_metrics_;
    std::map<std::string, GenerationMetrics> last_sampled_metrics_;
    std::vector<TrafficSample> samples_;
};

}  // namespace cressledge::rollout
