/// State machine of a rollout: changes a fleet in stages, and rolls the change back if the processes that have it
/// perform worse than the others. No I/O: a step takes the time and the observations and returns the actions to
/// perform. The emulator runs the same code.
///
///   observing    -> updating      the fleet was observed for one bake time
///   updating     -> baking        every process of the stage has the change
///   baking       -> updating      the canary analysis passed; the next stage
///   baking       -> completed     it was the last stage
///   (any above)  -> rolling_back  the analysis failed or stayed inconclusive for too long, the changed processes
///                                 crash, a process rejected the change, updates timed out, or the operator
///                                 requested it
///   rolling_back -> rolled_back   every changed process has its original spec
///
/// `RolloutState` must be durable before the actions that follow from it are performed: a step requests either that
/// the state is saved or that specs are sent, never both. A controller that continues from a stored state therefore
/// repeats or resumes the actions of its predecessor.
///
/// Invariant: at any time each process has, or is being updated to, the spec that `RolloutState` specifies for it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rollout/canary_analysis.hpp"
#include "rollout/crash_monitor.hpp"
#include "rollout/process_observation.hpp"
#include "rollout/rollout_plan.hpp"
#include "rollout/rollout_state.hpp"
#include "rollout/stage_report.hpp"
#include "rollout/traffic_monitor.hpp"
#include "rollout/update_tracker.hpp"

namespace cressledge::rollout {

/// A process of the fleet and its current or requested program and settings.
struct ProcessAssignment {
    std::string process_id;
    ProcessSpec spec;
};

/// The actions that one step requests.
struct RolloutActions {
    /// The state must be made durable and `step` called again before any other action.
    bool must_save_state = false;
    /// Specs to send to processes; empty if `must_save_state` is set.
    std::vector<ProcessAssignment> spec_updates;
    /// Lines for the log, each a JSON object.
    std::vector<std::string> log_lines;
    bool is_finished = false;
};

/// Decides the next actions of a rollout; see the head of this file. Only `RolloutState` survives a restart, so
/// that a bake starts again after one.
class RolloutStateMachine {
public:
    /// Creates a new rollout over the processes of `fleet` with their current specs.
    RolloutStateMachine(const RolloutPlan& plan, const std::vector<ProcessAssignment>& fleet);

    /// Continues from a stored state. Throws `InvalidRolloutState` if it belongs to another plan.
    RolloutStateMachine(const RolloutPlan& plan, RolloutState state);

    /// Processes one observation of the fleet and returns the actions to perform.
    RolloutActions step(Timestamp now, const Observations& observations);

    /// Makes the next step roll the change back, unless the rollout has finished or is already rolling back.
    void request_rollback(const std::string& reason);

    /// The state as of the last step; must be made durable if that step requested it.
    const RolloutState& state() const { return state_; }
    /// Reports of the stages that this object has begun, in order.
    const std::vector<StageReport>& reports() const { return reports_; }
    /// Traffic of both groups between observations, oldest first.
    const std::vector<TrafficSample>& samples() const { return traffic_.samples(); }

    /// Number of processes that have the change at the end of stage `stage_index`.
    std::size_t updated_count_after(std::size_t stage_index) const;

private:
    /// Number of processes that may still be updated at the same time.
    using ConcurrencySlots = std::size_t;

    void begin(Timestamp now, RolloutActions& actions);
    void advance(Timestamp now, const Observations& observations, RolloutActions& actions);
    void observe(Timestamp now, const Observations& observations);
    void enter_phase(Timestamp now, Phase phase, RolloutActions& actions);
    void start_rollback(Timestamp now, const std::string& reason, RolloutActions& actions);

    void step_updating(Timestamp now, const Observations& observations, RolloutActions& actions);
    void mark_stage_updated(std::size_t stage_size, RolloutActions& actions);
    bool has_rejected_update(const RolloutTarget& target, const ProcessObservation& observation) const;
    void start_bake(Timestamp now, const Observations& observations, std::size_t stage_size,
                    RolloutActions& actions);

    void step_baking(Timestamp now, const Observations& observations, RolloutActions& actions);
    CanaryAnalysis analyze() const;
    std::optional<std::string> wait_reason(Timestamp now, const Observations& observations,
                                           CrashAssessment crashes, const CanaryAnalysis& analysis) const;
    bool is_suspect_wait_over(Timestamp now) const;
    void extend_bake(Timestamp now, const std::string& reason, RolloutActions& actions);
    void finish_stage(Timestamp now, const CanaryAnalysis& analysis, RolloutActions& actions);

    void step_rolling_back(Timestamp now, const Observations& observations, RolloutActions& actions);
    void request_update(Timestamp now, const RolloutTarget& target, const ProcessSpec& spec,
                        const Observations& observations, ConcurrencySlots& free_slots,
                        RolloutActions& actions);

    StageReport& ensure_report(Timestamp now);
    StageReport& current_report() { return reports_.back(); }
    void log_event(RolloutActions& actions, const char* event, const nlohmann::ordered_json& fields) const;

    const RolloutPlan plan_;
    RolloutState state_;
    std::optional<std::string> rollback_request_;
    bool has_started_ = false;
    Timestamp phase_started_at_{0};
    Timestamp next_analysis_at_{0};
    UpdateTracker updates_;
    TrafficMonitor traffic_;
    CrashMonitor crashes_;
    std::vector<StageReport> reports_;
};

}  // namespace cressledge::rollout
