/// Changes a fleet in stages, and rolls the change back where the processes that have it do worse than the others. No
/// I/O: the time and what was seen of each process come in, what is to be done goes out; the emulator runs it as it is.
///
///   observing    -> updating      the fleet was observed for one bake time
///   updating     -> baking        every process of the stage has the change
///   baking       -> updating      the canary analysis passed; the next stage
///   baking       -> completed     it was the last stage
///   (any above)  -> rolling_back  the analysis failed or stayed inconclusive for too long, the changed processes crash, a
///                                 process rejected the change, or the operator asked for it
///   rolling_back -> rolled_back   every changed process has its original spec
///
/// `RolloutState` must be durable before anything that follows from it is done: a step asks for it to be saved, or for
/// specs to be sent, never for both. Whoever starts again from a stored state does what its predecessor was about to do,
/// or had done.
///
/// Invariant: at any moment each process has, or is on its way to, the spec that `RolloutState` names for it.
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

/// A process of the fleet and the program and settings that it has, or is to have.
struct ProcessAssignment {
    std::string process_id;
    ProcessSpec spec;
};

/// What follows from one step.
struct RolloutActions {
    /// The state has to be durable, and `step` to be called again, before anything else is done.
    bool must_save_state = false;
    /// Specs to be sent to processes; empty where `must_save_state` is set.
    std::vector<ProcessAssignment> spec_updates;
    /// JSON objects for the log.
    std::vector<std::string> log_lines;
    bool is_finished = false;
};

/// Decides what a rollout does next; see the head of this file. It keeps no more than `RolloutState` over a restart: a
/// bake then begins anew.
class RolloutStateMachine {
public:
    /// A new rollout over processes with the specs that they have now.
    RolloutStateMachine(const RolloutPlan& plan, const std::vector<ProcessAssignment>& fleet);

    /// Continues from a stored state. Throws `InvalidRolloutState` where it is of another plan.
    RolloutStateMachine(const RolloutPlan& plan, RolloutState state);

    /// Takes in what was seen of the fleet.
    RolloutActions step(Timestamp now, const Observations& observations);

    /// Has the next step roll the change back, unless the rollout is past that.
    void request_rollback(const std::string& reason);

    /// The state as of the last step; to be made durable where that step asked for it.
    const RolloutState& state() const { return state_; }
    /// The stages that this object has begun, in their order.
    const std::vector<StageReport>& reports() const { return reports_; }
    /// What the processes did between observations, oldest first.
    const std::vector<TrafficSample>& samples() const { return traffic_.samples(); }

    /// Processes that have the change at the end of stage `stage_index`.
    std::size_t updated_count_after(std::size_t stage_index) const;

private:
    /// Slots for processes that change at one time.
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
