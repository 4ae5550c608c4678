/// The baking phase of the rollout state machine: how a stage is observed, analyzed, extended and finished.
#include <algorithm>
#include <cmath>

#include "rollout/fleet_visibility.hpp"
#include "rollout/rollout_state_machine.hpp"

namespace cressledge::rollout {

void RolloutStateMachine::start_bake(Timestamp now, const Observations& observations, std::size_t stage_size,
                                     RolloutActions& actions) {
    for (const RolloutTarget& target : state_.targets) {
        if (!target.is_updated)
            traffic_.add_to_prior(target.id);
    }
    traffic_.start_bake();
    crashes_.start_bake();
    observe(now, observations);
    next_analysis_at_ = now + plan_.bake_time;
    current_report().bake_started_at = now;
    enter_phase(now, Phase::baking, actions);
    log_event(
        actions, "baking",
        {{"changed", stage_size}, {"of", state_.targets.size()}, {"ms", plan_.bake_time.count() / 1000}});
}

void RolloutStateMachine::step_baking(Timestamp now, const Observations& observations,
                                      RolloutActions& actions) {
    StageReport& report = ensure_report(now);
    // The bake was continued from a stored state.
    if (report.bake_started_at == Timestamp(0))
        report.bake_started_at = now;
    const CrashAssessment crashes = crashes_.assess(now, phase_started_at_, state_.targets);
    if (crashes == CrashAssessment::excess) {
        start_rollback(now, "changed processes crash more often than unchanged ones", actions);
        return;
    }
    if (now < next_analysis_at_)
        return;
    const CanaryAnalysis analysis = analyze();
    report.analysis = analysis;
    if (analysis.verdict == CanaryVerdict::fail) {
        start_rollback(now, analysis.reason, actions);
        return;
    }
    if (const auto reason = wait_reason(now, observations, crashes, analysis))
        extend_bake(now, *reason, actions);
    else
        finish_stage(now, analysis, actions);
}

CanaryAnalysis RolloutStateMachine::analyze() const {
    const GroupedMetrics metrics = traffic_.metrics_of(state_.targets);
    if (reports_.back().baseline_count > 0)
        return analyze_canary(metrics.canary, metrics.baseline, plan_.tolerances);
    CanaryAnalysis analysis;
    analysis.verdict = CanaryVerdict::pass;
    analysis.reason = "no unchanged processes left to compare with";
    for (const ProcessMetrics& process : metrics.canary)
        analysis.canary += process.window;
    return analysis;
}

/// Returns why the stage has to wait for more observations; none if it passes.
std::optional<std::string> RolloutStateMachine::wait_reason(Timestamp now, const Observations& observations,
                                                            CrashAssessment crashes,
                                                            const CanaryAnalysis& analysis) const {
    const bool is_wait_over = is_suspect_wait_over(now);
    if (crashes == CrashAssessment::suspect && !is_wait_over)
        return "a changed process crashed";
    const Duration max_age = plan_.bake_time / 2;
    if (auto problem = find_visibility_problem(now, max_age, state_.targets, observations, traffic_))
        return problem;
    if (analysis.verdict != CanaryVerdict::inconclusive)
        return std::nullopt;
    if (!analysis.is_suspect)
        return analysis.reason;
    if (is_wait_over)
        return std::nullopt;
    return "suspect: " + analysis.reason;
}

/// Whether the stage has waited long enough for a suspect result. It then passes, and the next stage, with more
/// processes, decides.
bool RolloutStateMachine::is_suspect_wait_over(Timestamp now) const {
    return now - phase_started_at_ > plan_.bake_time + plan_.max_inconclusive_time * 3 / 4;
}

void RolloutStateMachine::extend_bake(Timestamp now, const std::string& reason, RolloutActions& actions) {
    std::vector<std::string>& earlier_reasons = current_report().wait_reasons;
    if (std::find(earlier_reasons.begin(), earlier_reasons.end(), reason) == earlier_reasons.end()) {
        earlier_reasons.push_back(reason);
        log_event(actions, "hold", {{"why", reason}});
    }
    if (now - phase_started_at_ > plan_.bake_time + plan_.max_inconclusive_time)
        start_rollback(now, "inconclusive for too long: " + reason, actions);
    else
        next_analysis_at_ = now + plan_.bake_time / 4;
}

void RolloutStateMachine::finish_stage(Timestamp now, const CanaryAnalysis& analysis,
                                       RolloutActions& actions) {
    StageReport& report = current_report();
    report.verdict = CanaryVerdict::pass;
    report.reason = analysis.reason;
    report.ended_at = now;
    log_event(actions, "go",
              {{"changed", report.canary_count},
               {"requests", std::llround(sum_over_classes(analysis.canary).total())}});
    if (state_.stage_index + 1 >= plan_.stages.size()) {
        enter_phase(now, Phase::completed, actions);
        log_event(actions, "done", {{"changed", report.canary_count}});
        return;
    }
    ++state_.stage_index;
    enter_phase(now, Phase::updating, actions);
}

}  // namespace cressledge::rollout
