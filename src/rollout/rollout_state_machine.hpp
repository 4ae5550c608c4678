// A rolling change of a fleet in stages, stopped and taken back where the changed processes do worse. No I/O: time and
// what was seen of each process come in, what is to be done goes out; the emulator runs it as it is.
//
//   watching  -> changing   it has been seen for one bake how things are before
//   changing  -> baking     every process of the stage has the change
//   baking    -> changing   the next stage: the judge said go
//   baking    -> done       it was the last
//   any       -> reverting  the judge said stop, a process turned the change down, or a hold took too long
//   reverting -> reverted   every changed process is as it was
//
// State is what lasts: whoever carries this out writes it before anything that follows from it is done (`save` comes
// without `set`), so that one who starts again from the file does what the one before was about to do, or had done.
//
// Invariant: at any moment every process has, or is on its way to, the spec that State names for it.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rollout/canary_analysis.hpp"
#include "supervisor/process_lifecycle.hpp"

namespace cressledge::rollout {

using supervisor::ProcessSpec;

struct RolloutStage {
    double fleet_fraction = 1.0;  // of the fleet, all stages before counted in
    std::size_t process_count = 0;  // or so many processes; 0: by the share
};

struct RolloutPlan {
    std::string name;
    ProcessSpec target_spec;  // an empty program or overlay: as it was
    std::vector<RolloutStage> stages;
    Duration bake_time{30'000'000};  // of each stage
    Duration max_inconclusive_time{
        120'000'000};  // beyond the bake, for a stage that cannot be judged; then it is stopped
    Duration update_timeout{60'000'000};  // for a stage to have the change
    std::size_t max_concurrent_updates = 8;  // processes that change at one time
    std::uint64_t order_seed = 1;  // of the order
    Tolerances tolerances;
};

struct RolloutTarget {
    std::string id;
    ProcessSpec original_spec, updated_spec;
    bool is_updated = false;  // it has, or is to have, the change
};

enum class Phase : std::uint8_t { observing, updating, baking, completed, rolling_back, rolled_back };
const char* to_string(Phase phase);

struct RolloutState {
    std::string name;
    std::string plan_digest;  // of the plan: another plan does not go on with this state
    Phase phase = Phase::observing;
    std::size_t stage_index = 0;
    std::string rollback_reason;  // of reverting
    std::vector<RolloutTarget> targets;  // in the order of the change
};
nlohmann::ordered_json to_json(const RolloutState& s);
RolloutState from_json(const nlohmann::json& j);  // throws std::runtime_error

// What was seen of one process at one moment. Not reachable: nothing else counts.
struct ProcessObservation {
    bool is_reachable = false;
    ProcessSpec active_spec;  // in force
    supervisor::ChangeStatus change_status = supervisor::ChangeStatus::none;
    std::string change_error;  // of a failed change
    supervisor::Generation serving_generation = 0;  // 0: none is up
    std::uint64_t crash_count = 0;
    std::optional<MetricsByClass> metrics;
    std::string membership_digest;  // its digest of the fleet; empty: none
};
using Observations = std::map<std::string, ProcessObservation>;

struct StageReport {
    std::size_t stage_index = 0, canary_count = 0, baseline_count = 0;
    Timestamp started_at{0}, bake_started_at{0}, ended_at{0};
    CanaryVerdict verdict = CanaryVerdict::inconclusive;
    std::string reason;
    std::vector<std::string> wait_reasons;  // the reasons, each once
    CanaryAnalysis analysis;
};
struct TrafficSample {  // of one look: what both groups did since the one before
    Timestamp taken_at{0};
    std::size_t stage_index = 0;
    Phase phase = Phase::observing;
    ClassMetrics canary, baseline;  // all classes
};

/// A process of the fleet and the program and settings that it has, or is to have.
struct ProcessAssignment {
    std::string process_id;
    ProcessSpec spec;
};

struct RolloutActions {
    bool must_save_state = false;  // State has to last before anything else
    std::vector<ProcessAssignment> spec_updates;
    std::vector<std::string> log_lines;  // for the log, as JSON
    bool is_finished = false;
};

class RolloutStateMachine {
public:
    // A new one, of processes with the specs they have now; or one that goes on from its state.
    RolloutStateMachine(const RolloutPlan& plan, const std::vector<ProcessAssignment>& fleet);
    RolloutStateMachine(const RolloutPlan& plan,
                        RolloutState state);  // throws std::runtime_error where the state is of another plan

    RolloutActions step(Timestamp now, const Observations& observations);
    // The operator's word: the change is taken back.
    void request_rollback(const std::string& reason);

    const RolloutState& state() const { return state_; }
    const std::vector<StageReport>& reports() const { return reports_; }
    const std::vector<TrafficSample>& samples() const { return samples_; }
    std::size_t updated_count_after(std::size_t stage_index) const;  // processes changed by its end
    static std::string compute_plan_digest(const RolloutPlan& plan);

private:
    struct MetricsAccumulator {  // of one process, from the beginning of a bake
        std::optional<MetricsByClass> base_metrics, last_metrics;
        MetricsByClass earlier_generations;  // of earlier lives of the process
        supervisor::Generation generation = 0;
        std::uint64_t crashes_at_start = 0;  // at the beginning
        Timestamp started_at{0}, last_seen_at{0};
        MetricsByClass total() const;
    };
    void step_updating(Timestamp now, const Observations& observations, RolloutActions& actions);
    void step_baking(Timestamp now, const Observations& observations, RolloutActions& actions);
    void step_rolling_back(Timestamp now, const Observations& observations, RolloutActions& actions);
    void enter_phase(Timestamp now, Phase phase, RolloutActions& actions);
    void start_rollback(Timestamp now, const std::string& reason, RolloutActions& actions);
    void record_observations(Timestamp now, const Observations& observations);
    bool has_excess_crashes(Timestamp now,
                            std::string& wait_reason);  // true: what is changed crashes more than what is not
    // For how long what is only suspect is watched: then more processes have to tell.
    bool suspect_wait_expired(Timestamp now) const {
        return now - phase_started_at_ > plan_.bake_time + plan_.max_inconclusive_time * 3 / 4;
    }
    std::string visibility_problem(Timestamp now, const Observations& observations)
        const;  // why nothing can be judged now; empty: it can
    void request_update(Timestamp now, const RolloutTarget& m, const ProcessSpec& spec,
                        const Observations& observations, std::size_t& room, RolloutActions& actions);
    StageReport& current_report() { return reports_.back(); }
    void log_event(RolloutActions& actions, const char* what, nlohmann::ordered_json more) const;

    const RolloutPlan plan_;
    RolloutState state_;
    std::string rollback_request_;  // the operator's reason
    bool has_started_ = false;
    Timestamp phase_started_at_{0}, next_analysis_at_{0}, crash_wait_until_{0}, last_canary_crash_at_{0};
    double canary_crashes_ = 0.0;  // changed processes, in this bake
    std::map<std::string, Timestamp> last_update_requests_;  // when each was last told to change
    // Who was seen to have what the phase asks for. Guards a phase of hundreds against looks that get lost: all of them
    // are hardly ever seen at one moment.
    std::set<std::string> confirmed_targets_;
    std::map<std::string, MetricsAccumulator> accumulators_;
    std::map<std::string, MetricsByClass>
        prior_metrics_;  // what each did until its change, or until this bake
    double baseline_exposure_seconds_ = 0.0,
           baseline_crashes_ = 0.0;  // seconds and crashes of unchanged processes, over the whole roll
    std::map<std::string, std::uint64_t> crash_counts_;
    Timestamp last_observed_at_{0};
    std::vector<StageReport> reports_;
    std::vector<TrafficSample> samples_;
    std::map<std::string, std::pair<supervisor::Generation, MetricsByClass>> last_sampled_metrics_;
};

}  // namespace cressledge::rollout
