#include "emulator/rollout_emulation.hpp"

#include <cmath>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <random>

namespace cressledge::emulator {
namespace {

using base::Duration;
using base::Timestamp;
using rollout::ClassMetrics;
using rollout::MetricsByClass;

/// A request class of the mix. Latencies are log-normal.
struct RequestClass {
    const char* name;
    double fraction, median_ms, latency_sigma, latency_objective_ms;
};
constexpr RequestClass request_classes[] = {{"trail-sheet", 0.46, 450.0, 0.6, 2900.0},
                                            {"route-profile", 0.46, 250.0, 0.5, 1500.0},
                                            {"map-order", 0.08, 700.0, 0.5, 3500.0}};
/// The class to which VersionDefects::error_rate applies.
constexpr const RequestClass* defective_class = &request_classes[1];
constexpr double change_time_s = 1.5, restart_time_s = 0.5, max_time_s = 7200.0;
constexpr double shared_slowdown_time_s = 60.0;
constexpr double error_factor_sigma = 0.4, max_error_rate = 0.5;
constexpr double partition_time_s = 40.0;
constexpr std::size_t partition_stage = 1, partition_stride = 5;

/// An emulated process.
struct Process {
    /// Factors by which the process's machine changes latencies and errors.
    double latency_factor = 1.0, error_factor = 1.0;
    rollout::ProcessSpec active_spec, wanted_spec;
    /// Seconds since the start of the run; negative if not scheduled.
    double change_at = -1.0, restart_at = -1.0;
    double started_at = 0.0;
    std::uint64_t generation = 1, crashes = 0;
    MetricsByClass metrics;
    bool is_new_version = false, is_cut_off = false;
};

/// One run of a scenario.
class RolloutEmulation {
public:
    explicit RolloutEmulation(const RolloutScenario& scenario);
    RolloutResult run();

private:
    Timestamp timestamp() const { return Timestamp(static_cast<std::int64_t>(now_s_ * 1e6) + 1); }
    bool chance(double probability) {
        return std::bernoulli_distribution(std::min(1.0, probability))(random_);
    }
    void advance(double seconds);
    void update_partition();
    void start(Process& process);
    void serve(Process& process, double seconds);
    void serve_class(Process& process, const RequestClass& request_class, double seconds);
    rollout::Observations observe();
    void apply(const rollout::RolloutActions& actions);

    const RolloutScenario scenario_;
    pcg32 random_;
    std::vector<Process> processes_;
    std::vector<std::string> ids_;
    std::map<std::string, std::size_t> index_by_id_;
    std::optional<rollout::RolloutStateMachine> state_machine_;
    double now_s_ = 0.0;
    /// Logarithm of the slowdown common to all machines.
    double shared_slowdown_ = 0.0;
    /// Start of the partition; negative if it has not started.
    double partitioned_at_ = -1.0;
    double requests_ = 0.0, new_version_requests_ = 0.0;
};

RolloutEmulation::RolloutEmulation(const RolloutScenario& scenario)
    : scenario_(scenario), random_(scenario.seed, 23) {
    std::vector<rollout::ProcessAssignment> fleet;
    for (std::size_t i = 0; i < scenario.processes; ++i) {
        Process process;
        process.latency_factor =
            std::exp(std::normal_distribution<>(0.0, scenario.machine_speed_sigma)(random_));
        process.error_factor = std::exp(std::normal_distribution<>(0.0, error_factor_sigma)(random_));
        process.active_spec = process.wanted_spec = {"old", ""};
        processes_.push_back(process);
        ids_.push_back("p" + std::to_string(i));
        index_by_id_[ids_.back()] = i;
        fleet.push_back({ids_.back(), process.active_spec});
    }
    rollout::RolloutPlan plan = scenario.plan;
    plan.target_spec = {"new", ""};
    plan.order_seed = scenario.seed;
    state_machine_.emplace(plan, fleet);
}

RolloutResult RolloutEmulation::run() {
    for (now_s_ = 0.0; now_s_ < max_time_s; now_s_ += scenario_.observation_interval_s) {
        if (now_s_ > 0.0)
            advance(scenario_.observation_interval_s);
        const auto observations = observe();
        auto actions = state_machine_->step(timestamp(), observations);
        if (actions.must_save_state)  // saving always succeeds here, so continue immediately
            actions = state_machine_->step(timestamp(), observations);
        apply(actions);
        if (actions.is_finished)
            break;
    }
    const rollout::RolloutState& state = state_machine_->state();
    RolloutResult result;
    result.completed = state.phase == rollout::Phase::completed;
    result.rolled_back = state.phase == rollout::Phase::rolled_back;
    result.stage = state.stage_index;
    result.seconds = now_s_;
    result.exposure = new_version_requests_ / std::max(1.0, requests_);
    result.rollback_reason = state.rollback_reason;
    return result;
}

void RolloutEmulation::apply(const rollout::RolloutActions& actions) {
    for (const auto& [id, spec] : actions.spec_updates) {
        Process& process = processes_[index_by_id_[id]];
        if (process.wanted_spec == spec)
            continue;
        process.wanted_spec = spec;
        process.change_at = now_s_ + change_time_s;
    }
}

void RolloutEmulation::advance(double seconds) {
    // An Ornstein-Uhlenbeck process.
    shared_slowdown_ += -shared_slowdown_ * seconds / shared_slowdown_time_s +
                        scenario_.shared_slowdown_sigma * std::sqrt(2.0 * seconds / shared_slowdown_time_s) *
                            std::normal_distribution<>()(random_);
    for (Process& process : processes_) {
        if (process.change_at >= 0.0 && process.change_at <= now_s_)
            start(process);
        if (process.restart_at >= 0.0 && process.restart_at <= now_s_)
            start(process);
        if (process.restart_at >= 0.0)
            continue;
        serve(process, seconds);
        const double crash_after_s = scenario_.new_version.crash_after_s;
        const bool crashes_by_defect =
            process.is_new_version && crash_after_s > 0.0 && now_s_ - process.started_at >= crash_after_s;
        if (!crashes_by_defect && !chance(scenario_.crashes_per_hour * seconds / 3600.0))
            continue;
        ++process.crashes;
        process.restart_at = now_s_ + restart_time_s;
    }
    update_partition();
}

void RolloutEmulation::update_partition() {
    const rollout::RolloutState& state = state_machine_->state();
    const bool is_due = scenario_.has_partition && state.stage_index == partition_stage &&
                        state.phase == rollout::Phase::baking;
    if (is_due && partitioned_at_ < 0.0)
        partitioned_at_ = now_s_;
    const bool is_partitioned = partitioned_at_ >= 0.0 && now_s_ < partitioned_at_ + partition_time_s;
    for (std::size_t i = 0; i < processes_.size(); ++i)
        processes_[i].is_cut_off = is_partitioned && i % partition_stride == 0;
}

void RolloutEmulation::start(Process& process) {
    process.active_spec = process.wanted_spec;
    process.is_new_version = process.active_spec.program == "new";
    process.change_at = process.restart_at = -1.0;
    process.started_at = now_s_;
    ++process.generation;
    process.metrics.clear();
}

void RolloutEmulation::serve(Process& process, double seconds) {
    for (const RequestClass& request_class : request_classes)
        serve_class(process, request_class, seconds);
}

void RolloutEmulation::serve_class(Process& process, const RequestClass& request_class, double seconds) {
    const VersionDefects defects = process.is_new_version ? scenario_.new_version : VersionDefects{};
    const int count =
        std::poisson_distribution<>(scenario_.request_rate_s * seconds * request_class.fraction)(random_);
    ClassMetrics& metrics = process.metrics[request_class.name];
    requests_ += count;
    new_version_requests_ += process.is_new_version ? count : 0;
    const double error_rate = std::min(max_error_rate, scenario_.error_rate * process.error_factor) +
                              (&request_class == defective_class ? defects.error_rate : 0.0);
    const double error_or_rejection_rate =
        error_rate + scenario_.rejection_rate * process.error_factor + defects.rejection_rate;
    std::lognormal_distribution<> latency_ms(std::log(request_class.median_ms * process.latency_factor *
                                                      defects.latency_factor * std::exp(shared_slowdown_)),
                                             request_class.latency_sigma);
    for (int i = 0; i < count; ++i) {
        const double outcome = std::generate_canonical<double, 32>(random_);
        if (outcome < error_rate) {
            metrics.errors += 1.0;
            continue;
        }
        if (outcome < error_or_rejection_rate) {
            metrics.shed += 1.0;
            continue;
        }
        double ms = latency_ms(random_);
        ms += defects.slow_rate > 0.0 && chance(defects.slow_rate) ? defects.slow_extra_ms : 0.0;
        metrics.ok += 1.0;
        metrics.late += ms > request_class.latency_objective_ms ? 1.0 : 0.0;
        const Duration latency(static_cast<std::int64_t>(ms * 1e3));
        metrics.latency_counts[base::LatencyHistogram::bucket_index(latency)] += 1.0;
    }
}

rollout::Observations RolloutEmulation::observe() {
    rollout::Observations observations;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
        const Process& process = processes_[i];
        rollout::ProcessObservation& observation = observations[ids_[i]];
        if (process.is_cut_off || chance(scenario_.observation_loss))
            continue;
        observation.is_reachable = true;
        observation.active_spec = process.active_spec;
        observation.change_status = process.wanted_spec == process.active_spec
                                        ? supervisor::ChangeStatus::succeeded
                                        : supervisor::ChangeStatus::in_progress;
        observation.serving_generation = process.restart_at >= 0.0 ? 0 : process.generation;
        observation.crash_count = process.crashes;
        if (process.restart_at < 0.0)
            observation.metrics = process.metrics;
    }
    return observations;
}

}  // namespace

RolloutResult emulate_rollout(const RolloutScenario& scenario) {
    return RolloutEmulation(scenario).run();
}

}  // namespace cressledge::emulator
