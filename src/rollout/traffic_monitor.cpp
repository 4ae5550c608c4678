#include "rollout/traffic_monitor.hpp"

#include <utility>

namespace cressledge::rollout {
namespace {

/// Samples are merged in pairs when their number reaches this value.
constexpr std::size_t max_samples = 8192;

}  // namespace

void TrafficMonitor::MetricsAccumulator::add(Timestamp now, supervisor::Generation new_generation,
                                             const MetricsByClass& metrics) {
    last_seen_at = now;
    const bool was_restarted =
        new_generation != generation || (last_metrics && !difference(*last_metrics, metrics));
    if (was_restarted) {
        earlier_generations = total();
        base_metrics = MetricsByClass();
        generation = new_generation;
    } else if (!base_metrics) {
        base_metrics = metrics;
    }
    last_metrics = metrics;
}

MetricsByClass TrafficMonitor::MetricsAccumulator::total() const {
    MetricsByClass sum = earlier_generations;
    if (!base_metrics || !last_metrics)
        return sum;
    if (const std::optional<MetricsByClass> current = difference(*base_metrics, *last_metrics))
        sum += *current;
    return sum;
}

void TrafficMonitor::observe(Timestamp now, const RolloutState& state, const Observations& observations) {
    TrafficSample sample;
    sample.taken_at = now;
    sample.stage_index = state.stage_index;
    sample.phase = state.phase;
    for (const RolloutTarget& target : state.targets) {
        const ProcessObservation* const observation = find_reachable(observations, target.id);
        if (observation == nullptr)
            continue;
        const auto [entry, is_new] = accumulators_.try_emplace(target.id);
        if (is_new)
            entry->second.generation = observation->serving_generation;
        if (!observation->metrics)
            continue;
        ClassMetrics& group = target.is_updated ? sample.canary : sample.baseline;
        if (const auto increase = update_last_sampled_metrics(target.id, *observation))
            group += sum_over_classes(*increase);
        entry->second.add(now, observation->serving_generation, *observation->metrics);
    }
    add_sample(sample);
}

std::optional<MetricsByClass> TrafficMonitor::update_last_sampled_metrics(
    const std::string& process_id, const ProcessObservation& observation) {
    GenerationMetrics& last = last_sampled_metrics_[process_id];
    const bool is_same_process =
        last.generation == observation.serving_generation && last.generation != supervisor::no_generation;
    std::optional<MetricsByClass> increase;
    if (is_same_process)
        increase = difference(last.metrics, *observation.metrics);
    last = {observation.serving_generation, *observation.metrics};
    return increase;
}

void TrafficMonitor::add_sample(const TrafficSample& sample) {
    samples_.push_back(sample);
    if (samples_.size() < max_samples)
        return;
    // Bounds the memory of a rollout that takes days by merging each two consecutive samples.
    std::vector<TrafficSample> merged;
    for (std::size_t i = 0; i + 1 < samples_.size(); i += 2) {
        merged.push_back(samples_[i + 1]);
        merged.back().canary += samples_[i].canary;
        merged.back().baseline += samples_[i].baseline;
    }
    samples_ = std::move(merged);
}

void TrafficMonitor::add_to_prior(const std::string& process_id) {
    const auto found = accumulators_.find(process_id);
    if (found != accumulators_.end())
        prior_metrics_[process_id] += found->second.total();
}

void TrafficMonitor::start_bake() {
    accumulators_.clear();
}

GroupedMetrics TrafficMonitor::metrics_of(const std::vector<RolloutTarget>& targets) const {
    GroupedMetrics grouped;
    for (const RolloutTarget& target : targets) {
        const auto found = accumulators_.find(target.id);
        if (found == accumulators_.end() || !found->second.last_metrics)
            continue;
        ProcessMetrics metrics;
        metrics.window = found->second.total();
        if (const auto prior = prior_metrics_.find(target.id); prior != prior_metrics_.end())
            metrics.prior = prior->second;
        (target.is_updated ? grouped.canary : grouped.baseline).push_back(std::move(metrics));
    }
    return grouped;
}

std::optional<Timestamp> TrafficMonitor::last_seen_at(const std::string& process_id) const {
    const auto found = accumulators_.find(process_id);
    if (found == accumulators_.end() || !found->second.last_metrics)
        return std::nullopt;
    return found->second.last_seen_at;
}

}  // namespace cressledge::rollout
